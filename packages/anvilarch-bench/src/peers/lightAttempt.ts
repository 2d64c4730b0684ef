/** The fixed responses of a light agent to attempts, in a stream for each attempt or in one session. */
import { create, type MessageInitShape } from '@bufbuild/protobuf'
import { type AttemptFrameSchema, type SessionFrame, SessionFrameSchema, type SessionRequest, type SessionResponseSchema, type StartAttemptRequest } from 'anvilarch-protocol'
import { createTurnQueue } from './turnQueue'

type Frame = MessageInitShape<typeof AttemptFrameSchema>
type Load = NonNullable<Frame['load']>

/** Content of the frames of a light agent. */
export interface LightAnswer {
  incarnation: string
  load: Load
  /** Called for each attempt. */
  onAttempt: () => void
}

const ENCODER = new TextEncoder()

/**
 * @param answer - frame content of the agent
 * @param request - start request of the attempt
 * @returns all frames of the attempt
 */
export function answerFrames (answer: LightAnswer, request: StartAttemptRequest): Frame[] {
  answer.onAttempt()
  const data = ENCODER.encode(JSON.stringify({ path: request.call?.path ?? '', requestId: request.requestId, answer: 'light' }))
  return [
    { kind: { case: 'accepted', value: { agentIncarnation: answer.incarnation } }, load: answer.load },
    { kind: { case: 'head', value: { status: 200, headers: [{ name: 'content-type', value: 'application/json' }] } } },
    { kind: { case: 'output', value: { offsetBytes: 0n, data } } },
    { kind: { case: 'final', value: { outcome: 'completed', totalBytes: BigInt(data.length), ran: 'ran' } }, load: answer.load }
  ]
}

/**
 * @param answer - frame content of the agent
 * @returns the frame that refuses an attempt as barred
 */
export function barredFrame (answer: LightAnswer): Frame {
  return { kind: { case: 'refused', value: { reason: 'barred', agentIncarnation: answer.incarnation } } }
}

/**
 * @param answer - frame content of the agent
 * @param requests - commands of a gateway
 * @returns the frames of its attempts
 */
export async function * serveLightSession (answer: LightAnswer, requests: AsyncIterable<SessionRequest>): AsyncGenerator<MessageInitShape<typeof SessionResponseSchema>> {
  const outbox = createTurnQueue<SessionFrame>()
  takeCommands(answer, requests, frame => { outbox.put(frame) }).then(outbox.close, outbox.close)
  for await (const frames of outbox.batches()) yield { frames }
}

async function takeCommands (answer: LightAnswer, requests: AsyncIterable<SessionRequest>, put: (frame: SessionFrame) => void): Promise<void> {
  for await (const { commands } of requests) {
    for (const { stream, kind } of commands) {
      if (kind.case !== 'start' && kind.case !== 'resume') continue
      const frames = kind.case === 'start' ? answerFrames(answer, kind.value) : [barredFrame(answer)]
      for (const frame of frames) put(create(SessionFrameSchema, { stream, kind: { case: 'frame', value: frame } }))
      put(create(SessionFrameSchema, { stream, kind: { case: 'ended', value: '' } }))
    }
  }
}
