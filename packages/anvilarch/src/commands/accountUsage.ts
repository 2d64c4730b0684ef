/** `anvilarch account usage` */
import { METRICS_PORT } from 'anvilarch-platform'
import { readAccountUsage } from 'anvilarch-serving'
import { fetchMetrics } from '../accounts'
import { defineCommand } from '../defineCommand'
import { formatTable } from '../output/table'
import { readSnapshot, STORE_ADDRESS } from '../storeSnapshot'

/** Shows the usage of the busiest client accounts in the last window against their limits, summed over all gateways. */
export const accountUsage = defineCommand({
  name: 'usage',
  description: 'Show what the busiest client accounts were granted and refused in the last window, over all gateways',
  args: { address: STORE_ADDRESS },
  examples: [{ description: 'Who is near or over a limit', line: 'anvilarch account usage --address 10.200.1.7:8142' }],
  run: async ({ address }, session) => {
    const { members, accounts } = await readSnapshot(address, session)
    const gateways = members.filter(member => member.role === 'gateway')
    const texts = await Promise.all(gateways.map(async member => await fetchMetrics(`http://${member.peerAddress.split(':')[0]}:${METRICS_PORT}/metrics`)))
    const unresponsive = gateways.filter((_, index) => texts[index] === undefined).map(member => member.name)
    const limits = new Map(accounts.map(account => [account.name, account]))
    const usages = readAccountUsage(texts.filter(text => text !== undefined)).map(usage => ({
      ...usage, requestsPerSecond: limits.get(usage.accountName)?.requestsPerSecond, burstRequests: limits.get(usage.accountName)?.burstRequests
    }))
    return {
      json: { accounts: usages, silentGateways: unresponsive },
      text: [
        formatTable(['account', 'granted', 'refused', 'ratePerSecond', 'burst'], usages.map(usage => [usage.accountName, usage.granted, usage.refused, usage.requestsPerSecond, usage.burstRequests])),
        ...unresponsive.length > 0 ? [`Not counted, since they do not answer: ${unresponsive.join(', ')}`] : []
      ].join('\n')
    }
  }
})
