/** Routing policies. Each is a pure choice among the endpoints that may receive the request. */
import { v3 as murmurhash } from 'murmurhash'
import type { PolicyInput, RoutingPolicy, Target } from './types'

/** Loads that differ by no more than this many requests count as equal. */
const EQUAL_LOAD_REQUESTS = 1

/** With affinity, an endpoint receives at most this multiple of the mean load; further requests go to the next one in hash order. */
const BOUNDED_LOAD_FACTOR = 1.25

/** Below this many requests, affinity outweighs load: the cache of a less loaded endpoint would have to be filled first. */
const MIN_BOUND_REQUESTS = 4

type PolicyHandler = (pool: readonly Target[], input: PolicyInput) => Target

/** Policy implementations by name. */
const POLICIES: Record<RoutingPolicy, PolicyHandler> = {
  affinity: chooseByAffinity,
  round_robin: (pool, input) => pool[input.turn % pool.length],
  random: (pool, input) => pickAt(pool, input.random()),
  least_reported_load: chooseLeastLoaded
}

/**
 * @param policy - name of the policy
 * @param input - endpoints, loads and the request
 * @returns the chosen endpoint, or undefined when none is allowed
 */
export function chooseTarget (policy: RoutingPolicy, input: PolicyInput): Target | undefined {
  const allowed = preferUnavoided(without(input.targets, input.exclude), input.avoid)
  if (allowed.length === 0) return undefined
  return POLICIES[policy](policy === 'affinity' ? preferOwnRegion(allowed, input) : allowed, input)
}

function preferUnavoided (targets: readonly Target[], avoid: ReadonlySet<string>): readonly Target[] {
  const others = without(targets, avoid)
  return others.length > 0 ? others : targets
}

function without (targets: readonly Target[], keys: ReadonlySet<string>): readonly Target[] {
  return keys.size === 0 ? targets : targets.filter(target => !keys.has(target.key))
}

/** Another region adds many times the latency, so it is used only when no endpoint of the gateway's own region has capacity. */
function preferOwnRegion (targets: readonly Target[], input: PolicyInput): readonly Target[] {
  const own = targets.filter(target => target.region === input.ownRegion)
  if (own.length === 0 || own.length === targets.length) return targets
  const hasCapacity = own.some(target => (input.loadOf(target).free ?? 1) > 0)
  return hasCapacity ? own : targets
}

function chooseByAffinity (pool: readonly Target[], input: PolicyInput): Target {
  if (input.affinityKey === '') return choosePowerOfTwo(pool, input)
  const total = pool.reduce((sum, target) => sum + input.loadOf(target).requests, 0)
  const bound = Math.max(MIN_BOUND_REQUESTS, Math.ceil(BOUNDED_LOAD_FACTOR * (total + 1) / pool.length))
  const ordered = pool
    .map(target => ({ target, weight: murmurhash(input.affinityKey + target.key) }))
    .sort((a, b) => b.weight - a.weight)
  const within = ordered.find(entry => input.loadOf(entry.target).requests < bound)
  return (within ?? ordered[0]).target
}

function choosePowerOfTwo (pool: readonly Target[], input: PolicyInput): Target {
  if (pool.length === 1) return pool[0]
  const first = Math.floor(input.random() * pool.length)
  const offset = 1 + Math.floor(input.random() * (pool.length - 1))
  return preferred(pool[first], pool[(first + offset) % pool.length], input)
}

function preferred (a: Target, b: Target, input: PolicyInput): Target {
  const loadA = loadScore(a, input)
  const loadB = loadScore(b, input)
  if (Math.abs(loadA - loadB) > EQUAL_LOAD_REQUESTS) return loadA < loadB ? a : b
  const proximityA = proximity(a, input)
  const proximityB = proximity(b, input)
  if (proximityA !== proximityB) return proximityA > proximityB ? a : b
  return loadB < loadA ? b : a
}

/** Batch requests go to the endpoint with the most free slots; all others go to the endpoint with the fewest requests. */
function loadScore (target: Target, input: PolicyInput): number {
  const load = input.loadOf(target)
  return input.workClass === 'batch' && load.free !== undefined ? -load.free : load.requests
}

function proximity (target: Target, input: PolicyInput): number {
  if (target.failureDomain === input.ownFailureDomain) return 2
  return target.region === input.ownRegion ? 1 : 0
}

function chooseLeastLoaded (pool: readonly Target[], input: PolicyInput): Target {
  return pool.reduce((best, target) => loadScore(target, input) < loadScore(best, input) ? target : best)
}

function pickAt (pool: readonly Target[], fraction: number): Target {
  return pool[Math.min(pool.length - 1, Math.floor(fraction * pool.length))]
}
