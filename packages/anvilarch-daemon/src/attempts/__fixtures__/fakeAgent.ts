/** In-process agent that retains the output of its attempts, with faults to inject. */
import { createServer, type Http2Server, type ServerHttp2Session } from 'node:http2'
import type { AddressInfo } from 'node:net'
import { create, type MessageInitShape } from '@bufbuild/protobuf'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { AgentService, type AttemptFrameSchema, type CancelAttemptRequest, EndpointStateSchema, type ResumeAttemptRequest, type StartAttemptRequest } from 'anvilarch-protocol'
import { serveSession } from '../../agent/attemptSessions'
import type { AgentView } from '../../membership/types'

type FrameInit = MessageInitShape<typeof AttemptFrameSchema>

/** An attempt at the agent. */
interface FakeAttempt {
  requestId: string
  /** Whether it runs alone, to its end or until its first token. */
  isolated: boolean
  chunks: Buffer[]
  head: { status: number, headers: Array<{ name: string, value: string }> }
  final: { outcome: string, ran: string, wasAlone: boolean } | undefined
  changed: Array<() => void>
}

/** Faults of the agent; a test may change them at any time. */
export interface FakeAgentFaults {
  /** Refuses starts for this reason. */
  refuse: string | undefined
  /** Open streams send no more frames; new ones work. */
  stallOpenStreams: boolean
  /** Starts are received, but neither run nor responded to. */
  ignoreStarts: boolean
  /** Text in a request that crashes the endpoint. */
  crashOn: string | undefined
  /** Discards all attempts and changes its incarnation once an attempt has written this many chunks. */
  dieAfterChunks: number | undefined
}

export interface FakeAgent {
  view: AgentView
  faults: FakeAgentFaults
  /** Ids of requests that ran, in the order of their starts. */
  executions: string[]
  starts: StartAttemptRequest[]
  cancelled: string[]
  barred: Set<string>
  resumes: number
  sessions: Set<ServerHttp2Session>
  /** Lets held responses continue. */
  release: () => void
  close: () => Promise<void>
}

export interface FakeAgentOptions {
  name: string
  kind?: 'model' | 'plain'
  /** Chunks of the response to a request. */
  answer?: (request: StartAttemptRequest) => string[]
  contentType?: string
  status?: number
  /** Responses stop after their first chunk until `release`. */
  hold?: boolean
}

/** @returns the events of a chat completion with these words */
export function chatEvents (words: string[]): string[] {
  const event = (delta: object, finish: string | null): string =>
    `data: ${JSON.stringify({ id: 'c1', object: 'chat.completion.chunk', created: 1, model: 'large', choices: [{ index: 0, delta, finish_reason: finish }] })}\n\n`
  return [event({ role: 'assistant', content: '' }, null), ...words.map(word => event({ content: word }, null)), event({}, 'stop'), 'data: [DONE]\n\n']
}

export async function startFakeAgent (options: FakeAgentOptions): Promise<FakeAgent> {
  const kind = options.kind ?? 'plain'
  const attempts = new Map<string, FakeAttempt>()
  const faults: FakeAgentFaults = { refuse: undefined, stallOpenStreams: false, ignoreStarts: false, crashOn: undefined, dieAfterChunks: undefined }
  let openGate: () => void = () => {}
  const gate = new Promise<void>(resolve => { openGate = resolve })

  const wake = (attempt: FakeAttempt): void => { attempt.changed.splice(0).forEach(each => { each() }) }
  const change = (attempt: FakeAttempt): Promise<void> => new Promise(resolve => { attempt.changed.push(resolve) })

  const execute = async (request: StartAttemptRequest, attempt: FakeAttempt): Promise<void> => {
    agent.executions.push(request.requestId)
    const text = Buffer.from(request.call?.body ?? []).toString() + (request.call?.path ?? '')
    if (faults.crashOn !== undefined && text.includes(faults.crashOn)) {
      for (const other of attempts.values()) {
        if (other.final === undefined) other.final = { outcome: 'endpoint_crashed', ran: 'unknown', wasAlone: other.isolated }
        wake(other)
      }
      return
    }
    const chunks = options.answer?.(request) ?? ['{"answer":"yes"}']
    for (const [index, chunk] of chunks.entries()) {
      if (options.hold === true && index > 0) await gate
      if (attempt.final !== undefined) return
      attempt.chunks.push(Buffer.from(chunk))
      wake(attempt)
      if (faults.dieAfterChunks !== undefined && attempt.chunks.length >= faults.dieAfterChunks) {
        die()
        return
      }
      await new Promise(resolve => { setImmediate(resolve) })
    }
    attempt.final = { outcome: 'completed', ran: 'ran', wasAlone: attempt.isolated }
    wake(attempt)
  }

  const die = (): void => {
    attempts.clear()
    agent.view = { ...agent.view, incarnation: `${agent.view.incarnation}+` }
    incarnation += '+'
    agent.sessions.forEach(session => { session.destroy() })
  }

  async function * read (attempt: FakeAttempt, offsetBytes: number, signal: AbortSignal): AsyncGenerator<FrameInit> {
    yield { kind: { case: 'accepted', value: { agentIncarnation: incarnation } } }
    if (faults.crashOn === undefined) yield { kind: { case: 'head', value: attempt.head } }
    let sentBytes = offsetBytes
    // One listener for the whole stream: a listener per wait would leak.
    const abortedStream = aborted(signal)
    while (!signal.aborted) {
      if (faults.stallOpenStreams) await abortedStream
      const output = Buffer.concat(attempt.chunks)
      if (output.length > sentBytes) {
        yield { kind: { case: 'output', value: { offsetBytes: BigInt(sentBytes), data: output.subarray(sentBytes) } } }
        sentBytes = output.length
      } else if (attempt.final !== undefined) {
        yield { kind: { case: 'final', value: { ...attempt.final, totalBytes: BigInt(output.length), outputTokens: attempt.chunks.filter(each => each.length > 0).length } } }
        return
      } else {
        await Promise.race([change(attempt), heartbeat(), abortedStream])
        if (attempt.final === undefined && Buffer.concat(attempt.chunks).length === sentBytes && !faults.stallOpenStreams) yield { kind: { case: 'heartbeat', value: {} } }
      }
    }
  }

  const refused = (reason: string): FrameInit => ({ kind: { case: 'refused', value: { reason, retryAfterMs: 700, agentIncarnation: incarnation } } })
  let incarnation = `${options.name}-1`

  async function * startAttempt (request: StartAttemptRequest, signal: AbortSignal): AsyncGenerator<FrameInit> {
    agent.starts.push(request)
    if (agent.barred.has(request.attemptId)) { yield refused('barred'); return }
    if (request.agentIncarnation !== incarnation) { yield refused('wrong_incarnation'); return }
    if (faults.refuse !== undefined) {
      agent.barred.add(request.attemptId)
      yield refused(faults.refuse)
      return
    }
    if (faults.ignoreStarts) { await aborted(signal); return }
    const contentType = options.contentType ?? (request.outputMode === 'stream' ? 'text/event-stream' : 'application/json')
    const attempt: FakeAttempt = { requestId: request.requestId, isolated: request.isolated || request.soloFirstToken, chunks: [], head: { status: options.status ?? 200, headers: [{ name: 'Content-Type', value: contentType }] }, final: undefined, changed: [] }
    attempts.set(request.attemptId, attempt)
    execute(request, attempt).catch(() => {})
    yield * read(attempt, 0, signal)
  }

  async function * resumeAttempt (request: ResumeAttemptRequest, signal: AbortSignal): AsyncGenerator<FrameInit> {
    agent.resumes++
    if (request.agentIncarnation !== incarnation) { yield refused('wrong_incarnation'); return }
    const attempt = attempts.get(request.attemptId)
    if (attempt === undefined) {
      agent.barred.add(request.attemptId)
      yield refused('barred')
      return
    }
    faults.stallOpenStreams = false
    yield * read(attempt, Number(request.offsetBytes), signal)
  }

  const cancelAttempt = (request: CancelAttemptRequest): { outcome: string } => {
    agent.cancelled.push(request.attemptId)
    const attempt = attempts.get(request.attemptId)
    if (attempt === undefined) agent.barred.add(request.attemptId)
    else {
      attempt.final ??= { outcome: 'cancelled', ran: 'ran', wasAlone: false }
      wake(attempt)
    }
    return { outcome: attempt === undefined ? 'barred' : 'cancelled' }
  }

  const sessionDeps = { registry: { start: startAttempt, resume: resumeAttempt }, stopped: new AbortController().signal }
  const handler = connectNodeAdapter({
    routes: router => {
      router.service(AgentService, {
        session: (requests, { signal }) => serveSession(sessionDeps, requests, signal),
        cancelAttempt
      })
    }
  })
  const server: Http2Server = createServer(handler)
  server.on('session', session => {
    agent.sessions.add(session)
    session.on('error', () => {})
    session.on('close', () => { agent.sessions.delete(session) })
  })

  const agent: FakeAgent = {
    view: {
      name: options.name,
      host: options.name,
      address: '',
      operationsAddress: '',
      incarnation,
      failureDomain: 'hall-a',
      region: 'west',
      state: 'serving',
      configurationVersion: 1,
      lastHeardMs: 0,
      endpoints: [create(EndpointStateSchema, { endpoint: 'e1', kind, service: kind === 'model' ? 'writer' : 'names', health: 'ready', models: kind === 'model' ? [{ model: 'large', version: '1', state: 'ready' }] : [] })]
    },
    faults,
    executions: [],
    starts: [],
    cancelled: [],
    barred: new Set(),
    resumes: 0,
    sessions: new Set(),
    release: () => { openGate() },
    close: async () => {
      openGate()
      agent.sessions.forEach(session => { session.destroy() })
      await new Promise<void>(resolve => { server.close(() => { resolve() }) })
      await new Promise(resolve => { setImmediate(resolve) })
    }
  }
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  agent.view.address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  return agent
}

async function aborted (signal: AbortSignal): Promise<void> {
  await new Promise(resolve => { signal.addEventListener('abort', resolve, { once: true }) })
}

/** Resolves after the heartbeat interval, which is well below the inactivity timeout of the tests. */
async function heartbeat (): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, 30).unref() })
}
