import { create } from '@bufbuild/protobuf'
import {
  type AttemptFrame, ResumeAttemptRequestSchema, type SessionRequest, type SessionResponse, StartAttemptRequestSchema, STREAM_CREDIT_BYTES
} from 'anvilarch-protocol'
import type { Frame } from '../../agent/attemptReader'
import { serveSession } from '../../agent/attemptSessions'
import { type AttemptSession, openAttemptSession } from '../attemptSession'
import type { AgentClient } from '../types'

/** Connects both sides of a session within this process. */
function connect (start: (attemptId: string, signal: AbortSignal) => AsyncGenerator<Frame>): { session: AttemptSession, cut: () => void } {
  const connection = new AbortController()
  const deps = {
    registry: { start: (request: { attemptId: string }, signal: AbortSignal) => start(request.attemptId, signal), resume: (request: { attemptId: string }, signal: AbortSignal) => start(request.attemptId, signal) },
    stopped: new AbortController().signal
  }
  const call = (requests: AsyncIterable<SessionRequest>): AsyncIterable<SessionResponse> => serveSession(deps, requests, connection.signal)
  const session = openAttemptSession({ client: { session: call } as unknown as AgentClient, address: 'agent-1', onIdle: () => {} })
  return { session, cut: () => { connection.abort() } }
}

const startOf = (attemptId: string): ReturnType<typeof create<typeof StartAttemptRequestSchema>> => create(StartAttemptRequestSchema, { attemptId })

const output = (offset: number, sizeBytes: number): Frame => ({ kind: { case: 'output', value: { offsetBytes: BigInt(offset), data: new Uint8Array(sizeBytes) } } })
const final: Frame = { kind: { case: 'final', value: { outcome: 'completed' } } }

async function collect (frames: AsyncIterable<AttemptFrame>): Promise<string[]> {
  const kinds: string[] = []
  for await (const frame of frames) kinds.push(frame.kind.case ?? '')
  return kinds
}

describe('openAttemptSession', () => {
  it('multiplexes several attempts, each with its own frames in order', async () => {
    const { session } = connect(async function * (id) {
      yield output(0, id.length)
      yield final
    })
    const answers = await Promise.all(['a', 'bb', 'ccc'].map(async id => await collect(session.start(startOf(id), undefined))))
    expect(answers).toEqual([['output', 'final'], ['output', 'final'], ['output', 'final']])
    expect(session.size()).toBe(0)
  })

  it('continues one stream while the reader of another does not read', async () => {
    // Guards against one slow reader that blocks all responses of a work class.
    let sentBytes = 0
    const portion = STREAM_CREDIT_BYTES / 4
    const { session } = connect(async function * (id) {
      for (let part = 0; part < (id === 'slow' ? 100 : 1); part++) {
        sentBytes += portion
        yield output(part * portion, portion)
      }
      yield final
    })
    const slow = session.start(startOf('slow'), undefined)[Symbol.asyncIterator]()
    await slow.next()
    expect(await collect(session.start(startOf('quick'), undefined))).toEqual(['output', 'final'])
    expect(sentBytes).toBeLessThanOrEqual(STREAM_CREDIT_BYTES + 2 * portion)
    let frames = 1
    while ((await slow.next()).done !== true) frames++
    expect(frames).toBe(101)
  })

  it('ends every stream with an error when the connection is lost', async () => {
    const { session, cut } = connect(async function * (_id, signal) {
      yield output(0, 1)
      await new Promise(resolve => { signal.addEventListener('abort', resolve) })
    })
    const frames = session.start(startOf('a'), undefined)[Symbol.asyncIterator]()
    await frames.next()
    cut()
    await expect(frames.next()).rejects.toThrow('the agent ended the session')
    expect(session.isOpen()).toBe(false)
  })

  it('notifies the agent when a stream is cancelled, and does not affect the others', async () => {
    const cancelled: string[] = []
    const { session } = connect(async function * (id, signal) {
      yield output(0, 1)
      await new Promise(resolve => { signal.addEventListener('abort', resolve) })
      cancelled.push(id)
    })
    const abort = new AbortController()
    const first = collect(session.start(startOf('first'), abort.signal))
    const second = session.resume(create(ResumeAttemptRequestSchema, { attemptId: 'second' }), undefined)[Symbol.asyncIterator]()
    await second.next()
    abort.abort()
    await first
    while (cancelled.length === 0) await new Promise(resolve => { setImmediate(resolve) })
    expect(cancelled).toEqual(['first'])
    expect(session.size()).toBe(1)
  })
})
