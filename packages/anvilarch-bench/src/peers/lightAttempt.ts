/** The fixed responses of a light agent to attempts, in a stream for each attempt or in one session. */
import { create, type MessageInitShape } from '@bufbuild/protobuf'
import { type AttemptFrameSchema, type SessionFrame, SessionFrameSchema, type SessionRequest, type SessionResponseSchema, type StartAttemptRequest } from 'anvilarch-protocol'
import { createMessageBatcher } from './messageBatcher'

type Frame = MessageInitShape<typeof AttemptFrameSchema>
type Load = NonNullable<Frame['load']>

/** Content of the frames of a light agent. */
export interface LightResponse {
  incarnation: string
  load: Load
  /** Called for each attempt. */
  onAttempt: () => void
}

const ENCODER = new TextEncoder()

/**
 * @param response - frame content of the agent
 * @param request - start request of the attempt
 * @returns all frames of the attempt
 */
export function responseFrames (response: LightResponse, request: StartAttemptRequest): Frame[] {
  response.onAttempt()
  const data = ENCODER.encode(JSON.stringify({ path: request.call?.path ?? '', requestId: request.requestId, answer: 'light' }))
  return [
    { kind: { case: 'accepted', value: { agentIncarnation: response.incarnation } }, load: response.load },
    { kind: { case: 'head', value: { status: 200, headers: [{ name: 'content-type', value: 'application/json' }] } } },
    { kind: { case: 'output', value: { offsetBytes: 0n, data } } },
    { kind: { case: 'final', value: { outcome: 'completed', totalBytes: BigInt(data.length), ran: 'ran' } }, load: response.load }
  ]
}

/**
 * @param response - frame content of the agent
 * @returns the frame that refuses an attempt as barred
 */
export function barredFrame (response: LightResponse): Frame {
  return { kind: { case: 'refused', value: { reason: 'barred', agentIncarnation: response.incarnation } } }
}

/**
 * @param response - frame content of the agent
 * @param requests - commands of a gateway
 * @returns the frames of its attempts
 */
export async function * serveLightSession (response: LightResponse, requests: AsyncIterable<SessionRequest>): AsyncGenerator<MessageInitShape<typeof SessionResponseSchema>> {
  const outbox = createMessageBatcher<SessionFrame>()
  executeCommands(response, requests, frame => { outbox.put(frame) }).then(outbox.close, outbox.close)
  for await (const frames of outbox.batches()) yield { frames }
}

async function executeCommands (response: LightResponse, requests: AsyncIterable<SessionRequest>, put: (frame: SessionFrame) => void): Promise<void> {
  for await (const { commands } of requests) {
    for (const { stream, kind } of commands) {
      if (kind.case !== 'start' && kind.case !== 'resume') continue
      const frames = kind.case === 'start' ? responseFrames(response, kind.value) : [barredFrame(response)]
      for (const frame of frames) put(create(SessionFrameSchema, { stream, kind: { case: 'frame', value: frame } }))
      put(create(SessionFrameSchema, { stream, kind: { case: 'ended', value: '' } }))
    }
  }
}
