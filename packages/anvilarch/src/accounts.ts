/** Client accounts as an operator sees them. */
import { type AccountSummary, isClosed, type StoreSnapshot, waitingTokens } from 'anvilarch-serving'
import { request } from 'undici'
import type { Cell } from './output/table'

/** An account and the work of it that waits. */
export interface AccountState extends AccountSummary {
  openJobs: number
  waitingTokens: number
}

/** Heads of the table of accounts. */
export const ACCOUNT_COLUMNS = ['account', 'keys', 'priority', 'ratePerSecond', 'burst', 'openJobs', 'waitingTokens']

/** A gateway that does not answer by then is named as silent. */
const METRICS_TIMEOUT_MS = 2000

/**
 * @param snapshot - of the store
 * @returns all accounts, in the order of the configuration
 */
export function accountStates (snapshot: StoreSnapshot): AccountState[] {
  return snapshot.accounts.map(account => {
    const open = snapshot.jobs.filter(job => job.account === account.name && !isClosed(job))
    return { ...account, openJobs: open.length, waitingTokens: open.reduce((sum, job) => sum + waitingTokens(job), 0) }
  })
}

/** @returns the cells of an account's row */
export function accountRow (account: AccountState): Cell[] {
  return [account.name, account.keyCount, account.priority, account.requestsPerSecond, account.burstRequests, account.openJobs, account.waitingTokens]
}

/**
 * @param url - where a daemon serves its metrics
 * @returns their text; undefined when it does not answer
 */
export async function fetchMetrics (url: string): Promise<string | undefined> {
  try {
    const answer = await request(url, { headersTimeout: METRICS_TIMEOUT_MS, bodyTimeout: METRICS_TIMEOUT_MS })
    return await answer.body.text()
  } catch {
    // The command names the daemons that were not heard.
    return undefined
  }
}
