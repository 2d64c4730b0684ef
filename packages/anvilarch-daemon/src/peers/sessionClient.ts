/** Client that multiplexes its attempts over one open call per connection. */
import { create, type MessageInitShape } from '@bufbuild/protobuf'
import { ResumeAttemptRequestSchema, StartAttemptRequestSchema } from 'anvilarch-protocol'
import type { Clock, Timer } from 'anvilarch-utils'
import { type AttemptSession, openAttemptSession } from './attemptSession'
import type { AgentClient } from './types'

/** Options of `createSessionClient`. */
export interface SessionClientOptions {
  clock: Clock
  /** Client of the same connection, used for all calls except attempts. */
  client: AgentClient
  address: string
  /** Time after which a session without attempts is closed, so that rarely used agents hold no state. */
  idleMs: number
}

/**
 * @param options - connection, clock and idle time
 * @returns client that opens a session with the first attempt, and a new one after the previous session has ended
 */
export function createSessionClient (options: SessionClientOptions): AgentClient {
  const { clock, client, address, idleMs } = options
  let session: AttemptSession | undefined
  let idleTimer: Timer | undefined

  const closeIfIdle = (idle: AttemptSession): void => {
    if (idle.size() > 0) return
    idle.close()
    if (session === idle) session = undefined
  }

  const current = (): AttemptSession => {
    idleTimer?.cancel()
    if (session?.isOpen() === true) return session
    const opened: AttemptSession = openAttemptSession({
      client,
      address,
      onIdle: () => {
        idleTimer?.cancel()
        idleTimer = clock.after(idleMs, () => { closeIfIdle(opened) })
      }
    })
    session = opened
    return opened
  }

  return {
    ...client,
    startAttempt: (request: MessageInitShape<typeof StartAttemptRequestSchema>, call?: { signal?: AbortSignal }) =>
      current().start(create(StartAttemptRequestSchema, request), call?.signal),
    resumeAttempt: (request: MessageInitShape<typeof ResumeAttemptRequestSchema>, call?: { signal?: AbortSignal }) =>
      current().resume(create(ResumeAttemptRequestSchema, request), call?.signal)
  }
}
