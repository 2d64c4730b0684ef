/** The routing policies. Each is a pure choice among endpoints that may be given the request. */
import { v3 as murmurhash } from 'murmurhash'
import type { PolicyInput, RoutingPolicy, Target } from './types'

/** Loads that differ by no more than this count as alike. */
const ALIKE_REQUESTS = 1

/** With affinity, an endpoint takes at most this multiple of the mean load before the next one in hash order is taken. */
const BOUNDED_LOAD_FACTOR = 1.25

/** Below this many requests an endpoint is not given up for a lighter one, whose cache would have to be filled first. */
const UNBOUNDED_REQUESTS = 4

type PolicyHandler = (pool: readonly Target[], input: PolicyInput) => Target

/** Handlers by policy name. */
const POLICIES: Record<RoutingPolicy, PolicyHandler> = {
  affinity: chooseByAffinity,
  round_robin: (pool, input) => pool[input.turn % pool.length],
  random: (pool, input) => pickAt(pool, input.random()),
  least_reported_load: chooseLeastLoaded
}

/**
 * @param policy - name of the policy
 * @param input - endpoints, loads and the request
 * @returns the chosen endpoint, or undefined when there is none
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

/** Another region costs many times the latency, so it is used only when no endpoint of the own one has room. */
function preferOwnRegion (targets: readonly Target[], input: PolicyInput): readonly Target[] {
  const own = targets.filter(target => target.region === input.ownRegion)
  if (own.length === 0 || own.length === targets.length) return targets
  const hasRoom = own.some(target => (input.loadOf(target).free ?? 1) > 0)
  return hasRoom ? own : targets
}

function chooseByAffinity (pool: readonly Target[], input: PolicyInput): Target {
  if (input.affinityKey === '') return chooseOfTwo(pool, input)
  const total = pool.reduce((sum, target) => sum + input.loadOf(target).requests, 0)
  const bound = Math.max(UNBOUNDED_REQUESTS, Math.ceil(BOUNDED_LOAD_FACTOR * (total + 1) / pool.length))
  const ordered = pool
    .map(target => ({ target, weight: murmurhash(input.affinityKey + target.key) }))
    .sort((a, b) => b.weight - a.weight)
  const within = ordered.find(entry => input.loadOf(entry.target).requests < bound)
  return (within ?? ordered[0]).target
}

function chooseOfTwo (pool: readonly Target[], input: PolicyInput): Target {
  if (pool.length === 1) return pool[0]
  const first = Math.floor(input.random() * pool.length)
  const offset = 1 + Math.floor(input.random() * (pool.length - 1))
  return better(pool[first], pool[(first + offset) % pool.length], input)
}

function better (a: Target, b: Target, input: PolicyInput): Target {
  const loadA = pressure(a, input)
  const loadB = pressure(b, input)
  if (Math.abs(loadA - loadB) > ALIKE_REQUESTS) return loadA < loadB ? a : b
  const closenessA = closeness(a, input)
  const closenessB = closeness(b, input)
  if (closenessA !== closenessB) return closenessA > closenessB ? a : b
  return loadB < loadA ? b : a
}

/** Batch work goes where most of it would start at once; other work goes where least is running. */
function pressure (target: Target, input: PolicyInput): number {
  const load = input.loadOf(target)
  return input.workClass === 'batch' && load.free !== undefined ? -load.free : load.requests
}

function closeness (target: Target, input: PolicyInput): number {
  if (target.failureDomain === input.ownFailureDomain) return 2
  return target.region === input.ownRegion ? 1 : 0
}

function chooseLeastLoaded (pool: readonly Target[], input: PolicyInput): Target {
  return pool.reduce((best, target) => pressure(target, input) < pressure(best, input) ? target : best)
}

function pickAt (pool: readonly Target[], fraction: number): Target {
  return pool[Math.min(pool.length - 1, Math.floor(fraction * pool.length))]
}
