/** Queue of the frames of one stream, between the session that receives them and the request that reads them. */
import type { AttemptFrame } from 'anvilarch-protocol'

/** Queue of frames. Its size is bounded by the flow-control credit of the stream. */
export interface FrameQueue {
  put: (frame: AttemptFrame) => void
  /** Marks the end of the stream; the iteration ends after the queued frames, with the error if there is one. */
  end: (error: unknown) => void
  /**
   * @param onDone - called once, when the iteration ends
   * @returns frames in order; can be iterated once only
   */
  frames: (onDone: () => void) => AsyncIterable<AttemptFrame>
}

/**
 * @param onRead - called with the number of output bytes of each frame that the reader has consumed
 * @returns an empty queue
 */
export function createFrameQueue (onRead: (sizeBytes: number) => void): FrameQueue {
  const frames: AttemptFrame[] = []
  let ended = false
  let failure: unknown
  let wake: () => void = () => {}

  const iterate = async function * (onDone: () => void): AsyncGenerator<AttemptFrame> {
    try {
      while (true) {
        const frame = frames.shift()
        if (frame !== undefined) {
          yield frame
          if (frame.kind.case === 'output') onRead(frame.kind.value.data.length)
        } else if (ended) {
          if (failure !== undefined) throw failure
          return
        } else {
          await new Promise<void>(resolve => { wake = resolve })
        }
      }
    } finally {
      onDone()
    }
  }

  return {
    put: frame => {
      frames.push(frame)
      wake()
    },
    end: error => {
      if (ended) return
      ended = true
      failure = error
      wake()
    },
    frames: iterate
  }
}
