/**
 * Turns the replicas of the document into orders. Pure: the same document and endpoints give the same orders.
 *
 * What is loaded stays where it is; what is missing goes to the failure domain that has the fewest replicas of the
 * service; loads are paced, since the weight store is limited in its rate.
 */
import type { ConfigurationDocument, ModelService } from 'anvilarch-configuration'
import { invariant } from 'anvilarch-utils'
import type { PlannedOrder, Slot } from './types'

/** A model service with the slots that count for it. */
interface ServicePlan {
  name: string
  service: ModelService
  kept: Slot[]
}

/** State of one round of planning. */
interface Round {
  plans: ServicePlan[]
  free: Slot[]
  orders: PlannedOrder[]
  loadsLeft: number
}

/**
 * @param document - in force
 * @param slots - all model endpoints
 * @returns the orders to send now
 */
export function planPlacement (document: ConfigurationDocument, slots: Slot[]): PlannedOrder[] {
  const maxLoads = document.limits.maxConcurrentLoads
  const loading = slots.filter(isLoading).length
  const round: Round = { plans: servicePlans(document, slots), free: [], orders: [], loadsLeft: Math.max(0, maxLoads - loading) }
  releaseSurplus(round, slots)
  const kept = new Set(round.plans.flatMap(plan => plan.kept))
  // A slot is free when no service counts on it; one whose service has other weights now is free for that service.
  round.free = slots.filter(slot => takesOrders(slot) && !kept.has(slot))
  fillMissing(round)
  unloadUnused(round)
  const loads = round.orders.filter(order => order.action === 'load').length
  invariant(loads === 0 || loading + loads <= maxLoads, 'placement_load_limit', () => `${loading} loads under way, ${loads} more planned, ${maxLoads} allowed`)
  return round.orders
}

/** A load counts from the order until the weights are there. */
function isLoading (slot: Slot): boolean {
  return slot.mayLoad && (slot.sent?.action === 'load' || slot.models.some(model => model.state === 'loading'))
}

function servicePlans (document: ConfigurationDocument, slots: Slot[]): ServicePlan[] {
  return Object.entries(document.services)
    .filter((entry): entry is [string, ModelService] => entry[1].kind === 'model')
    .sort(([left], [right]) => left < right ? -1 : 1)
    .map(([name, service]) => {
      const right = slots.filter(slot => slot.present && slot.service === name && holds(slot, service) && isAllowed(slot, service))
      return { name, service, kept: chooseSpread(right, service.replicas) }
    })
}

/** Whether the slot has, or is about to have, what the service needs. */
function holds (slot: Slot, service: ModelService): boolean {
  const { sent } = slot
  if (sent !== undefined && sent.model === service.model && sent.version === service.version) {
    return sent.action !== 'unload' && hasAdapters(sent.adapters, service)
  }
  return slot.models.some(model => model.model === service.model && model.version === service.version && hasAdapters(model.adapters, service))
}

function hasAdapters (adapters: string[], service: ModelService): boolean {
  return service.adapters.every(adapter => adapters.includes(adapter))
}

function isAllowed (slot: Slot, service: ModelService): boolean {
  return service.failureDomains.length === 0 || service.failureDomains.includes(slot.failureDomain)
}

/** Takes slots in turn from the failure domain with the fewest taken so far. */
function chooseSpread (slots: Slot[], count: number): Slot[] {
  const chosen: Slot[] = []
  const rest = [...slots].sort(compareSlots)
  while (chosen.length < count && rest.length > 0) {
    const next = leastUsedDomain(rest, chosen)
    chosen.push(next)
    rest.splice(rest.indexOf(next), 1)
  }
  return chosen
}

function leastUsedDomain (candidates: Slot[], taken: Slot[]): Slot {
  const takenIn = new Map<string, number>()
  for (const { failureDomain } of taken) takenIn.set(failureDomain, (takenIn.get(failureDomain) ?? 0) + 1)
  const inDomain = (slot: Slot): number => takenIn.get(slot.failureDomain) ?? 0
  return candidates.reduce((best, slot) => inDomain(slot) < inDomain(best) ? slot : best)
}

/** Usable before not usable, ready before loading, then by name, so that every holder chooses alike. */
function compareSlots (left: Slot, right: Slot): number {
  return rank(left) - rank(right) || (left.key < right.key ? -1 : 1)
}

function rank (slot: Slot): number {
  return (slot.usable ? 0 : 2) + (slot.models.some(model => model.state === 'ready') ? 0 : 1)
}

/** Endpoints beyond the replicas of their service, and those of a service that is gone, give up weights and service. */
function releaseSurplus (round: Round, slots: Slot[]): void {
  for (const slot of slots) {
    if (!takesOrders(slot) || slot.service === '') continue
    const plan = round.plans.find(found => found.name === slot.service)
    if (plan?.kept.includes(slot) === true) continue
    if (plan !== undefined && plan.kept.length < plan.service.replicas && isAllowed(slot, plan.service)) continue
    release(round, slot)
  }
}

function takesOrders (slot: Slot): boolean {
  return slot.usable && slot.sent === undefined
}

/** One order at a time for a slot: weights first, or the endpoint would be taken to serve whatever fits them. */
function release (round: Round, slot: Slot): void {
  const { agent, endpoint } = slot
  const model = slot.models.at(0)
  if (model === undefined) round.orders.push({ agent, endpoint, action: 'assign', service: '', model: '', version: '', adapters: [] })
  else round.orders.push({ agent, endpoint, action: 'unload', service: slot.service, model: model.model, version: model.version, adapters: [] })
}

/** Gives each service in turn one slot, the one with the smallest share of its replicas first. */
function fillMissing (round: Round): void {
  const busy = new Set(round.orders.map(order => `${order.agent}/${order.endpoint}`))
  const stuck = new Set<ServicePlan>()
  for (;;) {
    const open = round.plans.filter(plan => plan.kept.length < plan.service.replicas && !stuck.has(plan))
    if (open.length === 0) return
    const plan = open.reduce((best, other) => share(other) < share(best) ? other : best)
    const slot = chooseFree(round, plan, busy)
    if (slot === undefined) {
      stuck.add(plan)
      continue
    }
    place(round, plan, slot)
    busy.add(slot.key)
  }
}

function share (plan: ServicePlan): number {
  return plan.kept.length / plan.service.replicas
}

/** The order of preference: weights there already, own endpoint with other weights, an endpoint without a service. */
function chooseFree (round: Round, plan: ServicePlan, busy: Set<string>): Slot | undefined {
  const candidates = round.free
    .filter(slot => !busy.has(slot.key) && isAllowed(slot, plan.service))
    .filter(slot => slot.service === plan.name || !round.plans.some(other => other.name === slot.service))
    .sort(compareSlots)
  const groups = [
    candidates.filter(slot => holds(slot, plan.service)),
    round.loadsLeft > 0 ? candidates.filter(slot => slot.service === plan.name) : [],
    round.loadsLeft > 0 ? candidates : []
  ]
  const group = groups.find(slotsOfGroup => slotsOfGroup.length > 0)
  return group === undefined ? undefined : leastUsedDomain(group, plan.kept)
}

function place (round: Round, plan: ServicePlan, slot: Slot): void {
  const action = holds(slot, plan.service) ? 'assign' : 'load'
  if (action === 'load') round.loadsLeft--
  const { model, version, adapters } = plan.service
  round.orders.push({ agent: slot.agent, endpoint: slot.endpoint, action, service: plan.name, model, version, adapters })
  plan.kept.push(slot)
}

/** Once the weights of a service are ready on an endpoint, older ones beside them are given up. */
function unloadUnused (round: Round): void {
  const ordered = new Set(round.orders.map(order => `${order.agent}/${order.endpoint}`))
  for (const plan of round.plans) {
    for (const slot of plan.kept) {
      if (!takesOrders(slot) || ordered.has(slot.key) || !isReady(slot, plan.service)) continue
      const old = slot.models.find(model => model.model !== plan.service.model || model.version !== plan.service.version)
      if (old === undefined) continue
      round.orders.push({ agent: slot.agent, endpoint: slot.endpoint, action: 'unload', service: plan.name, model: old.model, version: old.version, adapters: [] })
    }
  }
}

function isReady (slot: Slot, service: ModelService): boolean {
  return slot.models.some(model => model.model === service.model && model.version === service.version && model.state === 'ready')
}
