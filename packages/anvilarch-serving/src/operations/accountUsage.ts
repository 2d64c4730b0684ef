/** Exports the recent usage of accounts as metrics of gateways, and reads it back. */
import { Gauge, type Registry } from 'prom-client'
import type { AccountUsage } from '../accounts/limits/usageWindow'

const METRIC_NAME = 'anvilarch_account_window_requests'

/** Maximum number of accounts that a gateway reports, the busiest first. A gateway may keep thousands of meters. */
export const MAX_REPORTED_ACCOUNTS = 20

const RESULTS = ['granted', 'refused'] as const

const SAMPLE_PATTERN = new RegExp(`^${METRIC_NAME}\\{account="((?:[^"\\\\]|\\\\.)*)",result="(${RESULTS.join('|')})"\\} (\\d+)$`, 'gm')

/**
 * Registers a gauge for the usage of accounts.
 *
 * @param registry - metrics registry of the process
 * @param read - returns the usage of the busiest accounts
 */
export function registerAccountUsage (registry: Registry, read: () => AccountUsage[]): void {
  // prom-client calls `collect` on the gauge itself.
  // eslint-disable-next-line no-new
  new Gauge({
    name: METRIC_NAME,
    help: 'Requests of an account in the last window over all gateways, of the busiest accounts whose meter is here',
    labelNames: ['account', 'result'],
    registers: [registry],
    collect () {
      this.reset()
      for (const usage of read()) for (const result of RESULTS) this.set({ account: usage.accountName, result }, usage[result])
    }
  })
}

/**
 * Reads the usage of accounts from metrics.
 *
 * @param metricsTexts - metrics of all gateways in text format
 * @returns usage by account, the busiest first; the usage of an account with meters at two gateways is the sum of both
 */
export function readAccountUsage (metricsTexts: readonly string[]): AccountUsage[] {
  const usageByAccount = new Map<string, AccountUsage>()
  for (const [, encodedName, result, count] of metricsTexts.flatMap(text => [...text.matchAll(SAMPLE_PATTERN)])) {
    const accountName = JSON.parse(`"${encodedName}"`) as string
    const usage = usageByAccount.get(accountName) ?? { accountName, granted: 0, refused: 0 }
    usage[result as typeof RESULTS[number]] += Number(count)
    usageByAccount.set(accountName, usage)
  }
  return [...usageByAccount.values()].sort((a, b) => b.granted + b.refused - a.granted - a.refused)
}
