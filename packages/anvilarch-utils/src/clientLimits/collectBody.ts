/** Collects the body of a request, however it is cut into chunks, within the limits of its size and of all bodies. */
import type { IncomingMessage } from 'node:http'
import { type BlockPool, createBlockPool } from './blockPool'
import { createByteCollector } from './byteCollector'
import { createReadTurns, type ReadTurns } from './readTurns'
import { createUploadBudget, type Upload, type UploadBudget, type UploadBudgetOptions } from './uploadBudget'

/** Result of collecting a body. `no_room`: it gave way to others. `broken_off`: the connection closed before its end. */
export type CollectedBody =
  | { outcome: 'read', body: Buffer }
  | { outcome: 'too_large', receivedBytes: number }
  | { outcome: 'no_room', receivedBytes: number }
  | { outcome: 'broken_off', receivedBytes: number, cause?: Error }

/** Limits that all bodies of a process share. */
export interface BodyLimits {
  budget: UploadBudget
  turns: ReadTurns
  blocks: BlockPool
}

/** Share of the budget that free blocks may take. */
const FREE_BLOCKS_SHARE = 1 / 4

/**
 * @param options - clock and limit of the bytes of all bodies
 * @returns limits that no body uses
 */
export function createBodyLimits (options: UploadBudgetOptions): BodyLimits {
  return { budget: createUploadBudget(options), turns: createReadTurns(), blocks: createBlockPool(options.limitBytes * FREE_BLOCKS_SHARE) }
}

/** A body that is being collected. */
export interface BodyCollection {
  result: Promise<CollectedBody>
  /** Counts the bytes of the body until `release`; it is called when the request needs its body no more. */
  upload: Upload
  /** Stops reading and discards what has come. The result never resolves. */
  stop: () => void
}

/** Chunks that a connection may deliver in a row. One read may deliver thousands, each of which costs as much as a large one. */
const CHUNKS_PER_TURN = 512

/**
 * Chunks are taken from `push`, before the stream keeps an object for each of them. Only its result can pause the connection within the
 * chunks of one read.
 *
 * @param request - the request; nothing else may read its body
 * @param maxBytes - maximum size of the body
 * @param limits - limits that all bodies share
 * @returns the collection
 */
export function collectBody (request: IncomingMessage, maxBytes: number, { budget, turns, blocks }: BodyLimits): BodyCollection {
  const { socket } = request
  const collector = createByteCollector(blocks)
  const upload = budget.open(() => end({ outcome: 'no_room', receivedBytes: collector.length() }))
  let chunksInTurn = 0
  let ended = false
  let resolveResult: (collected: CollectedBody) => void
  const result = new Promise<CollectedBody>(resolve => { resolveResult = resolve })

  const stop = (): void => {
    ended = true
    Reflect.deleteProperty(request, 'push')
    request.off('end', onEnd)
    request.off('error', onBrokenOff)
    request.off('close', onBrokenOff)
    request.on('error', () => {})
    if (!request.complete) request.pause()
    collector.clear()
  }
  const end = (collected: CollectedBody): void => {
    if (ended) return
    stop()
    if (collected.outcome !== 'read') upload.release()
    resolveResult(collected)
  }
  const take = (chunk: Buffer): void => {
    if (collector.length() + chunk.length > maxBytes) end({ outcome: 'too_large', receivedBytes: collector.length() + chunk.length })
    else if (upload.tryAdd(chunk.length)) collector.append(chunk)
    else end({ outcome: 'no_room', receivedBytes: collector.length() })
  }
  const isTurnOver = (): boolean => {
    chunksInTurn++
    if (chunksInTurn < CHUNKS_PER_TURN) return false
    if (chunksInTurn === CHUNKS_PER_TURN) {
      turns.resumeInTurn(socket)
      setImmediate(() => { chunksInTurn = 0 })
    }
    return true
  }
  const onEnd = (): void => {
    upload.complete()
    end({ outcome: 'read', body: collector.bytes() })
  }
  const onBrokenOff = (cause?: Error): void => end({ outcome: 'broken_off', receivedBytes: collector.length(), cause })

  request.on('end', onEnd)
  request.on('error', onBrokenOff)
  request.on('close', onBrokenOff)
  const early = request.read() as Buffer | null
  if (early !== null) take(early)
  if (!ended) {
    const push = request.push.bind(request)
    request.push = (chunk: Buffer | null) => {
      if (chunk === null) return push(null)
      take(chunk)
      return !isTurnOver()
    }
    request.resume()
  }
  return { result, upload, stop }
}
