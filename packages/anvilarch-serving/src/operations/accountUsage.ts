/** What accounts have used lately, as the metrics of gateways tell it. */
import { Gauge, type Registry } from 'prom-client'
import type { AccountUsage } from '../accounts/limits/usageWindow'

/** Name of the gauge. */
const METRIC = 'anvilarch_account_window_requests'

/** Accounts that a gateway tells of; one that keeps thousands of meters tells of the busiest. */
export const MAX_REPORTED_ACCOUNTS = 20

const RESULTS = ['granted', 'refused'] as const

const LINE = new RegExp(`^${METRIC}\\{account="((?:[^"\\\\]|\\\\.)*)",result="(${RESULTS.join('|')})"\\} (\\d+)$`, 'gm')

/**
 * @param registry - of the process
 * @param read - the busiest accounts
 */
export function registerAccountUsage (registry: Registry, read: () => AccountUsage[]): void {
  // prom-client calls `collect` on the gauge itself.
  // eslint-disable-next-line no-new
  new Gauge({
    name: METRIC,
    help: 'Requests of an account in the last window over all gateways, of the busiest accounts whose meter is here',
    labelNames: ['account', 'result'],
    registers: [registry],
    collect () {
      this.reset()
      for (const use of read()) for (const result of RESULTS) this.set({ account: use.accountName, result }, use[result])
    }
  })
}

/**
 * @param metricsTexts - metrics of all gateways
 * @returns use by account, the busiest first; an account that lately has had two meters has the sum of both
 */
export function readAccountUsage (metricsTexts: readonly string[]): AccountUsage[] {
  const uses = new Map<string, AccountUsage>()
  for (const [, encodedName, result, count] of metricsTexts.flatMap(text => [...text.matchAll(LINE)])) {
    const accountName = JSON.parse(`"${encodedName}"`) as string
    const use = uses.get(accountName) ?? { accountName, granted: 0, refused: 0 }
    use[result as typeof RESULTS[number]] += Number(count)
    uses.set(accountName, use)
  }
  return [...uses.values()].sort((a, b) => b.granted + b.refused - a.granted - a.refused)
}
