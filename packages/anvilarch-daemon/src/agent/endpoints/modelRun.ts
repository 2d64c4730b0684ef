/**
 * Runs one attempt at a model engine, over as many connections as needed.
 *
 * The run recovers from these interruptions: a connection stops delivering data while new connections work; the engine
 * closes the connection; the engine discards the stream; the agent preempts the attempt for online work. They are detected
 * by a timeout, an error, status 404 and a flag. The run then continues at its token offset: it resumes the engine's
 * stream or, if the engine no longer has it, starts a new generation that continues the text so far. The output therefore
 * has each token once.
 */
import { invariant, type RunStatus } from 'anvilarch-utils'
import { createTranscript } from '../../attempts/output/transcript'
import type { EndpointCall } from '../../attempts/types'
import type { EndpointConnections } from './connections'
import { type ConnectionEnd, type EngineConnection, openEngineConnection } from './engineConnection'
import type { EngineEvent } from './engineEvents'
import { cancelStream, resumeCall } from './engineStreams'
import { parseModelRequest } from './modelRequest'
import { OUTPUT_FORMATTERS } from './outputFormatters'
import { createPreemption, type Preemption } from './preemption'
import type { AdapterOptions, AttemptCall, EndpointRun, RunEnd, RunSink, StopReason } from './types'

/** Dependencies of a model run. */
export interface ModelRunDeps extends AdapterOptions {
  connections: EndpointConnections
  basePath: string
}

/** Consecutive connections without a token after which the attempt fails. */
const MAX_TOKENLESS_CONNECTIONS = 4

/** Maximum characters of an engine error that are reported. */
const MAX_DETAIL_LENGTH = 500

/** How to open the next connection. */
type Opening = 'begin' | 'resume' | 'continue'

type Failure = Extract<ConnectionEnd, { kind: 'broken' | 'unknown_stream' | 'truncated' }>

/**
 * @param deps - connections, timeouts and the process status of the endpoint
 * @param attempt - the attempt
 * @param sink - receives the output
 * @returns the run
 */
export function startModelRun (deps: ModelRunDeps, attempt: AttemptCall, sink: RunSink): EndpointRun {
  const request = parseModelRequest(attempt.call)
  const formatter = OUTPUT_FORMATTERS[attempt.outputMode]({ wantsUsage: request?.wantsUsage ?? false, isChat: request?.isChat ?? false })
  const transcript = createTranscript()
  const produced = transcript.continuation
  let incarnation = deps.incarnation()
  let headSent = false
  let anySent = false
  let connections = 0
  let tokenlessConnections = 0
  let timedOut = false
  let connection: EngineConnection | undefined
  let ended: RunEnd | undefined
  let preemption: Preemption | undefined

  const hasEnded = (): boolean => ended !== undefined

  const end = (outcome: RunEnd['outcome'], ran: RunStatus, detail: string): RunEnd => {
    ended ??= { outcome, ran, detail, outputTokens: produced().tokens }
    return ended
  }

  const ranSoFar = (): RunStatus => {
    if (produced().tokens > 0) return 'ran'
    return anySent || connection?.exchange.sent() === true ? 'unknown' : 'not_run'
  }

  const sendHead = (status: number, headers: Record<string, string>): void => {
    if (headSent) return
    headSent = true
    sink.onHead(status, headers)
  }

  const failStream = (detail: string): void => {
    end('endpoint_failed', 'ran', detail)
    connection?.exchange.abort()
  }

  const emit = (data: Uint8Array | undefined): void => {
    if (data === undefined || hasEnded() || sink.onOutput(data)) return
    failStream('the answer is larger than "maxOutputBytes"')
  }

  const errorOf = (event: EngineEvent): string | undefined => {
    if (event.error !== undefined) return `the engine told an error within its stream: ${event.error.slice(0, MAX_DETAIL_LENGTH)}`
    return event.isEnd && !transcript.finished() ? 'the engine ended its stream without telling why' : undefined
  }

  const onEvent = (event: EngineEvent): void => {
    if (hasEnded()) return
    const error = errorOf(event)
    if (error !== undefined) {
      failStream(error)
      return
    }
    if (event.chunk !== undefined) {
      if (connections > 1 && transcript.repeatsEnd(event.chunk)) return
      transcript.add(event.chunk)
    }
    if (event.tokenText !== undefined) {
      tokenlessConnections = 0
      sink.onToken()
    }
    emit(formatter.onEvent(event))
  }

  const callFor = (opening: Opening): EndpointCall => {
    const call = opening === 'resume'
      ? resumeCall(attempt.attemptId, (request?.initial.tokens ?? 0) + produced().tokens)
      : request?.call(produced()) ?? attempt.call
    return { ...call, path: deps.basePath + call.path, headers: { ...call.headers, 'x-request-id': attempt.requestId, 'x-attempt-id': attempt.attemptId } }
  }

  const readConnection = async (opening: Opening): Promise<ConnectionEnd> => {
    connections++
    const fresh = opening === 'begin' ? undefined : deps.connections.fresh()
    const opened = openEngineConnection({
      dispatcher: fresh ?? deps.connections.pool(attempt.workClass),
      clock: deps.clock,
      call: callFor(opening),
      isResume: opening === 'resume',
      acceptsNonStream: !headSent
    }, {
      onStream: headers => { sendHead(200, { ...headers, 'content-type': formatter.contentType }) },
      onEvent,
      onNonStreamHead: sendHead,
      onNonStreamData: emit
    })
    connection = opened
    const connectionEnd = await opened.end
    // No timeout applies between two connections.
    connection = undefined
    anySent ||= opened.exchange.sent()
    await fresh?.destroy()
    return connectionEnd
  }

  const cancelAtEngine = async (): Promise<void> => {
    await cancelStream({ ...deps, attemptId: attempt.attemptId }, produced().tokens === 0)
  }

  /** Decides how to continue after a connection that ended without the end of the response. */
  const recover = async (last: Failure): Promise<Opening | undefined> => {
    const hadTimedOut = timedOut
    timedOut = false
    tokenlessConnections++
    if (hadTimedOut) deps.connections.replacePool(attempt.workClass)
    if (last.kind === 'truncated') end('endpoint_failed', 'ran', 'the answer of the engine broke off')
    else if (last.kind === 'broken' && !last.sent && !anySent) endUnsent(last.detail)
    else await checkEngine(last)
    if (hasEnded()) return undefined
    if (last.kind === 'unknown_stream') return 'continue'
    sink.onResumed(hadTimedOut ? 'silence' : 'broken', produced().tokens)
    return 'resume'
  }

  const endUnsent = (detail: string): void => {
    deps.onUnreachable()
    end('endpoint_failed', 'not_run', detail)
  }

  const checkEngine = async (last: Failure): Promise<void> => {
    const status = await deps.checkProcess(incarnation)
    if (hasEnded()) return
    if (status === 'crashed') {
      end('endpoint_crashed', ranSoFar(), 'the engine was restarted or is gone')
    } else if (tokenlessConnections >= MAX_TOKENLESS_CONNECTIONS) {
      end('endpoint_failed', ranSoFar(), `no token over ${tokenlessConnections} connections`)
    } else if (last.kind === 'unknown_stream' && !attempt.idempotent) {
      // The engine may have run it and discarded the stream, so that a second run is not allowed.
      end('endpoint_failed', ranSoFar(), 'the engine does not know the stream')
    } else if (last.kind === 'unknown_stream' && !transcript.continuable()) {
      end('endpoint_failed', 'ran', 'the engine does not know the stream, and its text alone does not continue it')
    }
  }

  const waitForResume = async (current: Preemption): Promise<Opening | undefined> => {
    if (anySent) await cancelAtEngine()
    current.markSlotFree()
    await current.resumed
    preemption = undefined
    if (hasEnded()) return undefined
    tokenlessConnections = 0
    // A restart of the engine while the attempt waited is not a crash during the attempt.
    incarnation = deps.incarnation()
    sink.onResumed('preempted', produced().tokens)
    return anySent ? 'resume' : 'begin'
  }

  const nextOpening = async (last: ConnectionEnd): Promise<Opening | undefined> => {
    if (last.kind === 'finished') emit(formatter.finish(produced().tokens))
    if (last.kind === 'finished' || last.kind === 'responded') {
      end('completed', 'ran', '')
      return undefined
    }
    return preemption !== undefined ? await waitForResume(preemption) : await recover(last)
  }

  const run = async (): Promise<RunEnd> => {
    let opening: Opening | undefined = 'begin'
    while (opening !== undefined && !hasEnded()) {
      const last: ConnectionEnd = preemption === undefined ? await readConnection(opening) : { kind: 'broken', sent: false, detail: 'preempted' }
      opening = hasEnded() ? undefined : await nextOpening(last)
    }
    invariant(ended !== undefined, 'model_run_has_end', () => `attempt ${attempt.attemptId} stopped without an outcome`)
    if (needsCancel(ended)) await cancelAtEngine()
    preemption?.markSlotFree()
    return ended
  }

  // A run that did not end with the engine's response may still occupy a slot of the engine.
  const needsCancel = (result: RunEnd): boolean => anySent && result.outcome !== 'completed' && result.outcome !== 'endpoint_crashed'

  return {
    done: run(),
    stop: (reason: StopReason) => {
      const result = end(reason, ranSoFar(), `stopped: ${reason}`)
      connection?.exchange.abort()
      preemption?.resume()
      return result
    },
    preempt: async () => {
      if (hasEnded()) return false
      preemption ??= createPreemption()
      const { slotFree } = preemption
      connection?.exchange.abort()
      await slotFree
      return !hasEnded()
    },
    resume: () => { preemption?.resume() },
    checkTimeout: nowMs => {
      if (hasEnded() || preemption !== undefined || connection === undefined) return
      if (nowMs - connection.exchange.lastActivityMs() < deps.idleTimeoutMs) return
      timedOut = true
      connection.exchange.abort()
    }
  }
}
