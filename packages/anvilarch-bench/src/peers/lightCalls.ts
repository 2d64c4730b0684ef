/** Attempts of a light gateway over one session. */
import type { Client } from '@connectrpc/connect'
import { create } from '@bufbuild/protobuf'
import { type AgentService, type SessionCommand, SessionCommandSchema, SessionRequestSchema, type StartAttemptRequest } from 'anvilarch-protocol'
import type { Clock } from 'anvilarch-utils'
import { createMessageBatcher } from './messageBatcher'

/** Attempts over one session. */
export interface LightCalls {
  /** @returns the outcome of the attempt, or the reason of a refusal; rejects when none is received in time */
  start: (request: Omit<StartAttemptRequest, '$typeName' | '$unknown'>) => Promise<string>
  /** Closes the session and waits for its end. */
  close: () => Promise<void>
}

/** An attempt in progress. */
interface PendingAttempt {
  outcome: string
  resolve: (outcome: string) => void
}

/**
 * @param client - client of the agent
 * @param clock - measures the timeout
 * @param timeoutMs - timeout of an attempt
 * @returns a sender of attempts; the session is opened with the first one
 */
export function createLightCalls (client: Client<typeof AgentService>, clock: Clock, timeoutMs: number): LightCalls {
  const outbox = createMessageBatcher<SessionCommand>()
  const pending = new Map<number, PendingAttempt>()
  let lastStream = 0
  let sessionEnd: Promise<void> | undefined

  const read = async (): Promise<void> => {
    for await (const { frames } of client.session(requests())) {
      for (const { stream, kind } of frames) {
        const attempt = pending.get(stream)
        if (attempt === undefined) continue
        if (kind.case === 'ended') attempt.resolve(attempt.outcome)
        if (kind.case !== 'frame') continue
        const frame = kind.value.kind
        if (frame.case === 'final') attempt.outcome = frame.value.outcome
        if (frame.case === 'refused') attempt.outcome = frame.value.reason
      }
    }
  }
  const requests = async function * () {
    for await (const commands of outbox.batches()) yield create(SessionRequestSchema, { commands })
  }

  return {
    start: async request => {
      const stream = ++lastStream
      try {
        return await new Promise<string>((resolve, reject) => {
          pending.set(stream, { outcome: '', resolve })
          clock.after(timeoutMs, () => { reject(new Error('no response in time')) })
          outbox.put(create(SessionCommandSchema, { stream, kind: { case: 'start', value: request } }))
          sessionEnd ??= read().catch(() => {}).finally(() => { sessionEnd = undefined })
        })
      } finally {
        pending.delete(stream)
      }
    },
    close: async () => {
      outbox.close()
      await sessionEnd
    }
  }
}
