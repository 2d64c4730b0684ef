/** Reads client accounts, their pending work and the metrics of daemons for the `account` commands. */
import { type AccountSummary, isClosed, type StoreSnapshot, waitingTokens } from 'anvilarch-serving'
import { request } from 'undici'
import { requireFramedBody } from './gateway/framedBody'
import type { Cell } from './output/table'

/** An account with its open jobs and their waiting tokens. */
export interface AccountState extends AccountSummary {
  openJobs: number
  waitingTokens: number
}

/** Column headings of the table of accounts. */
export const ACCOUNT_COLUMNS = ['account', 'keys', 'priority', 'ratePerSecond', 'burst', 'openJobs', 'waitingTokens']

/** A gateway that does not respond within this time is listed in `silentGateways`. */
const METRICS_TIMEOUT_MS = 2000

const HTTP_OK = 200

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

/** @returns the cells of one account, in the order of `ACCOUNT_COLUMNS` */
export function accountRow (account: AccountState): Cell[] {
  return [account.name, account.keyCount, account.priority, account.requestsPerSecond, account.burstRequests, account.openJobs, account.waitingTokens]
}

/**
 * Fetches the metrics of a daemon.
 *
 * @param url - of the metrics endpoint
 * @returns the metrics as text; undefined if the daemon does not respond with all of them
 */
export async function fetchMetrics (url: string): Promise<string | undefined> {
  try {
    const response = await request(url, { headersTimeout: METRICS_TIMEOUT_MS, bodyTimeout: METRICS_TIMEOUT_MS })
    const body = await requireFramedBody(response)
    return response.statusCode === HTTP_OK ? await body.text() : undefined
  } catch {
    // The command lists the daemons that did not respond.
    return undefined
  }
}
