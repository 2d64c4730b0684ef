/**
 * Reports executions to the ledger collector of the fleet. An endpoint waits for the response of the collector before it runs
 * a request: otherwise the record of a request that crashes the endpoint, or of one that ran just before a kill,
 * would be lost with the process, and a request that ran twice would be counted once.
 */
import { type Clock, sleep } from 'anvilarch-utils'
import { request } from 'undici'
import type { Execution } from './executions'

/** Sends execution records to the collector. */
export interface LedgerReporter {
  /** @returns a promise that resolves when the collector has stored the record */
  report: (execution: Execution) => Promise<void>
}

interface PendingReport {
  execution: Execution
  resolve: () => void
  reject: (error: Error) => void
}

const RETRY_DELAY_MS = 50
const MAX_ATTEMPTS = 40

/**
 * @param url - address of the collector, or undefined when there is none
 * @param clock - clock of the delays between retries
 * @returns the reporter
 */
export function createLedgerReporter (url: string | undefined, clock: Clock): LedgerReporter {
  if (url === undefined) return { report: async () => {} }
  let queue: PendingReport[] = []
  let sending = false

  const sendAll = async (): Promise<void> => {
    sending = true
    while (queue.length > 0) {
      const batch = queue
      queue = []
      await sendBatch(url, batch, clock)
    }
    sending = false
  }

  return {
    report: execution => new Promise((resolve, reject) => {
      queue.push({ execution: { ...execution }, resolve, reject })
      if (!sending) sendAll().catch(reject)
    })
  }
}

async function sendBatch (url: string, batch: PendingReport[], clock: Clock): Promise<void> {
  const body = JSON.stringify({ executions: batch.map(({ execution }) => execution) })
  for (let attempt = 1; ; attempt++) {
    try {
      const response = await request(`${url}/executions`, { method: 'POST', headers: { 'content-type': 'application/json' }, body })
      await response.body.dump()
      if (response.statusCode !== 200) throw new Error(`the ledger collector responded with ${response.statusCode}`)
      for (const { resolve } of batch) resolve()
      return
    } catch (error) {
      if (attempt === MAX_ATTEMPTS) {
        for (const { reject } of batch) reject(error as Error)
        return
      }
      await sleep(clock, RETRY_DELAY_MS)
    }
  }
}
