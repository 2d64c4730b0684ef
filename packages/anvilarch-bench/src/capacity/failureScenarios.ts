/** Capacity tables of failure scenarios, calculated from the same measurements as the tables of the roles. */
import { type CapacityTable, largestJob, streamsInProgress } from './roleTables'
import { AGENTS, ASSUMED, BUDGETS, ITEMS_PER_SECOND, SECONDS_PER_DAY, SIZES } from './sizes'
import { assumed, measured, type Results, type CapacityValue, times } from './capacityValues'

const TEN_MINUTES_S = 600
const HOUR_S = 3600
const MS_PER_SECOND = 1000
const PER_THOUSAND = 1000
const MEBIBYTE = 1024 * 1024
/** Default limits of the daemon that determine how fast the system recovers. */
const DAEMON_LIMITS = { retryBudgetSaved: 200, retryBudgetShare: 0.1, firstExchangesPerSecond: 100, resultBufferBytes: 16 * MEBIBYTE, resultBufferItems: 8000 } as const

/**
 * @param results - latest results
 * @returns a table for each scenario
 */
export function failureScenarioTables (results: Results): CapacityTable[] {
  return [failureDomainLost(results), tableDown(results), regionsPartitioned(results), gatewaysReplaced(results)]
}

function failureDomainLost (results: Results): CapacityTable {
  const share = 1 / SIZES.failureDomains
  const lostStreams = streamsInProgress() * share
  const savedRetries = DAEMON_LIMITS.retryBudgetSaved * ASSUMED.gateways
  const retriesPerSecond = SIZES.requestsPerSecond * DAEMON_LIMITS.retryBudgetShare
  return {
    title: 'A failure domain is lost at the peak',
    rows: [
      { quantity: 'agents lost', size: `1 of ${SIZES.failureDomains} failure domains`, value: assumed(AGENTS * share), unit: 'agents', mechanism: 'connections break or go silent; host list later' },
      { quantity: 'last request that was hit', size: 'from the loss', value: measured(results, 'loss', 'failure domain lost', 'lastHitAfterMs'), unit: 'ms', mechanism: 'errors of attempts mark the agent, exchanges confirm it' },
      { quantity: 'errors seen by callers', size: 'idempotent streams', value: measured(results, 'loss', 'failure domain lost', 'errors'), unit: 'errors in the run', budget: 0, mechanism: 'streams are continued on other endpoints' },
      { quantity: 'streams to continue elsewhere', size: `${Math.round(streamsInProgress())} in progress (tokens a request from the given sizes, online share assumed)`, value: assumed(lostStreams), unit: 'streams', mechanism: 'continuation with the tokens that the caller has' },
      { quantity: 'time to continue them within the retry budget', size: `${savedRetries} saved over all gateways, then ${Math.round(retriesPerSecond)} a second`, value: assumed(Math.max(0, lostStreams - savedRetries) / retriesPerSecond), unit: 's', mechanism: 'retry budget as a share of requests, with a reserve' },
      { quantity: 'load of an endpoint that is left', size: `${SIZES.failureDomains - 1} of ${SIZES.failureDomains} failure domains`, value: assumed(SIZES.failureDomains / (SIZES.failureDomains - 1)), unit: 'times the load before', mechanism: 'batch work gives way first; then refusals with Retry-After' }
    ]
  }
}

function tableDown (results: Results): CapacityTable {
  const itemsPerGateway = ITEMS_PER_SECOND / ASSUMED.gateways
  const byItems = DAEMON_LIMITS.resultBufferItems / itemsPerGateway
  const byBytes = DAEMON_LIMITS.resultBufferBytes / (itemsPerGateway * ASSUMED.resultBytes)
  const backlog = ITEMS_PER_SECOND * TEN_MINUTES_S
  return {
    title: 'The table is down for ten minutes at the peak',
    rows: [
      { quantity: 'batch goes on for', size: `buffer of ${DAEMON_LIMITS.resultBufferItems} items or ${DAEMON_LIMITS.resultBufferBytes / MEBIBYTE} MiB a gateway; results of ${ASSUMED.resultBytes} bytes`, value: assumed(Math.min(byItems, byBytes)), unit: 's', mechanism: 'bounded result buffer, then the part pauses' },
      { quantity: 'items behind at the end', size: 'ten minutes', value: assumed(backlog), unit: 'items', mechanism: 'due much later than online work' },
      { quantity: 'commits to catch up', size: `${Math.round(backlog)} items`, value: times(measured(results, 'jobs', largestJob(results), 'tableCommitsPer1000Items'), backlog / PER_THOUSAND), unit: 'commits', mechanism: 'segments of many items' },
      { quantity: 'time of these commits at the table\'s limit', size: `${BUDGETS.tableWritesPerSecond} writes a second`, value: times(measured(results, 'jobs', largestJob(results), 'tableCommitsPer1000Items'), backlog / PER_THOUSAND / BUDGETS.tableWritesPerSecond), unit: 's', mechanism: 'the endpoints, not the table, bound the catching up' },
      { quantity: 'new jobs refused as not run', size: `${SIZES.jobsPerDay} jobs a day`, value: assumed(SIZES.jobsPerDay * TEN_MINUTES_S / SECONDS_PER_DAY), unit: 'jobs', mechanism: 'refusal with Retry-After' }
    ]
  }
}

function regionsPartitioned (results: Results): CapacityTable {
  const backlog = ITEMS_PER_SECOND * ASSUMED.regionShare * HOUR_S
  const perGateway: CapacityValue = measured(results, 'jobs', largestJob(results), 'itemsPerSecondPerGateway')
  const spare: CapacityValue = { value: perGateway.value === undefined ? undefined : perGateway.value * ASSUMED.gateways - ITEMS_PER_SECOND, source: perGateway.source }
  return {
    title: 'The regions lose each other for an hour',
    rows: [
      { quantity: 'items behind in the region without the table', size: `${ASSUMED.regionShare * 100}% of the batch work (assumed)`, value: assumed(backlog), unit: 'items', mechanism: 'online work needs no table and goes on in both regions' },
      { quantity: 'items a second that gateways have to spare', size: `${ASSUMED.gateways} gateways`, value: spare, unit: 'a second', mechanism: 'if the endpoints have them to spare as well' },
      { quantity: 'time to catch up', size: 'spare rate', value: { value: spare.value === undefined || spare.value <= 0 ? undefined : backlog / spare.value / HOUR_S, source: spare.source }, unit: 'h', mechanism: 'parts are taken up by any gateway' },
      { quantity: 'changes of configuration that wait', size: `${SIZES.configurationChangesPerDay} a day`, value: assumed(SIZES.configurationChangesPerDay / 24), unit: 'changes', mechanism: 'the last version comes first when the regions meet' }
    ]
  }
}

function gatewaysReplaced (results: Results): CapacityTable {
  const { gateways } = ASSUMED
  return {
    title: 'All gateways are replaced within an hour',
    rows: [
      { quantity: 'time between two replacements', size: `${gateways} gateways`, value: assumed(HOUR_S / gateways), unit: 's', mechanism: 'drain: unready first, then requests in progress end' },
      { quantity: 'streams that a gateway has in progress when it drains', size: 'at the peak', value: assumed(streamsInProgress() / gateways), unit: 'streams', mechanism: 'none is cut' },
      { quantity: 'time until a new gateway knows all agents', size: `${AGENTS} agents at ${DAEMON_LIMITS.firstExchangesPerSecond} first exchanges a second`, value: assumed(AGENTS / DAEMON_LIMITS.firstExchangesPerSecond), unit: 's', mechanism: 'paced first exchanges' },
      { quantity: 'parts of a killed gateway taken over after', size: 'lease and poll', value: times(measured(results, 'jobs', 'gateway killed', 'takeOverMs'), 1 / MS_PER_SECOND), unit: 's', mechanism: 'one heartbeat row a gateway, judged on the observer\'s own clock' },
      { quantity: 'items wrong or missing after a kill', size: 'one kill', value: measured(results, 'jobs', 'gateway killed', 'itemsMissingOrWrong'), unit: 'items', budget: 0, mechanism: 'commits conditioned on part and job rows' }
    ]
  }
}
