/**
 * Plans the orders that bring the endpoints to the replicas of the configuration document. Pure: the same document and
 * endpoints give the same orders.
 *
 * Loaded replicas stay in place; a missing replica goes to the failure domain with the fewest replicas of the service;
 * concurrent loads are limited, because the weight store has limited throughput.
 */
import type { ConfigurationDocument, ModelService } from 'anvilarch-configuration'
import { invariant } from 'anvilarch-utils'
import type { PlannedOrder, Slot } from './types'

/** A model service with the slots that count as its replicas. */
interface ServicePlan {
  name: string
  service: ModelService
  kept: Slot[]
}

/** State of one planning round. */
interface Round {
  plans: ServicePlan[]
  free: Slot[]
  orders: PlannedOrder[]
  remainingLoads: number
}

/**
 * @param document - active configuration document
 * @param slots - all model endpoints
 * @returns orders to send now
 */
export function planPlacement (document: ConfigurationDocument, slots: Slot[]): PlannedOrder[] {
  const maxLoads = document.limits.maxConcurrentLoads
  const loading = slots.filter(isLoading).length
  const round: Round = { plans: servicePlans(document, slots), free: [], orders: [], remainingLoads: Math.max(0, maxLoads - loading) }
  releaseSurplus(round, slots)
  const kept = new Set(round.plans.flatMap(plan => plan.kept))
  // A slot is free if it counts for no service. A slot whose service now requires other weights is free for that service.
  round.free = slots.filter(slot => acceptsOrders(slot) && !kept.has(slot))
  fillMissing(round)
  unloadUnused(round)
  const loads = round.orders.filter(order => order.action === 'load').length
  invariant(loads === 0 || loading + loads <= maxLoads, 'placement_load_limit', () => `${loading} loads in progress, ${loads} more planned, ${maxLoads} allowed`)
  return round.orders
}

/** A load counts from sending the order until the weights are ready. */
function isLoading (slot: Slot): boolean {
  return slot.mayLoad && (slot.sent?.action === 'load' || slot.models.some(model => model.state === 'loading'))
}

function servicePlans (document: ConfigurationDocument, slots: Slot[]): ServicePlan[] {
  return Object.entries(document.services)
    .filter((entry): entry is [string, ModelService] => entry[1].kind === 'model')
    .sort(([left], [right]) => left < right ? -1 : 1)
    .map(([name, service]) => {
      const matching = slots.filter(slot => slot.present && slot.service === name && hasModelOf(slot, service) && isAllowed(slot, service))
      return { name, service, kept: chooseSpread(matching, service.replicas) }
    })
}

/** Whether the slot has, or will have after its pending order, the model and adapters of the service. */
function hasModelOf (slot: Slot, service: ModelService): boolean {
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

/** Chooses slots one by one, each from the failure domain with the fewest chosen so far. */
function chooseSpread (slots: Slot[], count: number): Slot[] {
  const chosen: Slot[] = []
  const remaining = [...slots].sort(compareSlots)
  while (chosen.length < count && remaining.length > 0) {
    const next = slotInLeastUsedDomain(remaining, chosen)
    chosen.push(next)
    remaining.splice(remaining.indexOf(next), 1)
  }
  return chosen
}

function slotInLeastUsedDomain (candidates: Slot[], taken: Slot[]): Slot {
  const takenByDomain = new Map<string, number>()
  for (const { failureDomain } of taken) takenByDomain.set(failureDomain, (takenByDomain.get(failureDomain) ?? 0) + 1)
  const takenInDomainOf = (slot: Slot): number => takenByDomain.get(slot.failureDomain) ?? 0
  return candidates.reduce((best, slot) => takenInDomainOf(slot) < takenInDomainOf(best) ? slot : best)
}

/** Usable slots first, then ready before loading, then by key, so that every lease holder makes the same choice. */
function compareSlots (left: Slot, right: Slot): number {
  return rank(left) - rank(right) || (left.key < right.key ? -1 : 1)
}

function rank (slot: Slot): number {
  return (slot.usable ? 0 : 2) + (slot.models.some(model => model.state === 'ready') ? 0 : 1)
}

/** Releases endpoints that exceed the replicas of their service, and endpoints of a removed service. */
function releaseSurplus (round: Round, slots: Slot[]): void {
  for (const slot of slots) {
    if (!acceptsOrders(slot) || slot.service === '') continue
    const plan = round.plans.find(found => found.name === slot.service)
    if (plan?.kept.includes(slot) === true) continue
    if (plan !== undefined && plan.kept.length < plan.service.replicas && isAllowed(slot, plan.service)) continue
    release(round, slot)
  }
}

function acceptsOrders (slot: Slot): boolean {
  return slot.usable && slot.sent === undefined
}

/**
 * Sends one order at a time to a slot. The weights are unloaded before the service is unassigned; an unassigned endpoint with
 * weights would be assigned to any service that they match.
 */
function release (round: Round, slot: Slot): void {
  const { agent, endpoint } = slot
  const model = slot.models.at(0)
  if (model === undefined) round.orders.push({ agent, endpoint, action: 'assign', service: '', model: '', version: '', adapters: [] })
  else round.orders.push({ agent, endpoint, action: 'unload', service: slot.service, model: model.model, version: model.version, adapters: [] })
}

/** Assigns missing replicas one slot at a time, to the service with the smallest share of its replicas first. */
function fillMissing (round: Round): void {
  const busy = new Set(round.orders.map(order => `${order.agent}/${order.endpoint}`))
  const unplaceable = new Set<ServicePlan>()
  for (;;) {
    const open = round.plans.filter(plan => plan.kept.length < plan.service.replicas && !unplaceable.has(plan))
    if (open.length === 0) return
    const plan = open.reduce((best, other) => share(other) < share(best) ? other : best)
    const slot = chooseFree(round, plan, busy)
    if (slot === undefined) {
      unplaceable.add(plan)
      continue
    }
    place(round, plan, slot)
    busy.add(slot.key)
  }
}

function share (plan: ServicePlan): number {
  return plan.kept.length / plan.service.replicas
}

/** Prefers a slot that already has the weights, then one of the service with other weights, then one without a service. */
function chooseFree (round: Round, plan: ServicePlan, busy: Set<string>): Slot | undefined {
  const candidates = round.free
    .filter(slot => !busy.has(slot.key) && isAllowed(slot, plan.service))
    .filter(slot => slot.service === plan.name || !round.plans.some(other => other.name === slot.service))
    .sort(compareSlots)
  const groups = [
    candidates.filter(slot => hasModelOf(slot, plan.service)),
    round.remainingLoads > 0 ? candidates.filter(slot => slot.service === plan.name) : [],
    round.remainingLoads > 0 ? candidates : []
  ]
  const group = groups.find(slotsOfGroup => slotsOfGroup.length > 0)
  return group === undefined ? undefined : slotInLeastUsedDomain(group, plan.kept)
}

function place (round: Round, plan: ServicePlan, slot: Slot): void {
  const action = hasModelOf(slot, plan.service) ? 'assign' : 'load'
  if (action === 'load') round.remainingLoads--
  const { model, version, adapters } = plan.service
  round.orders.push({ agent: slot.agent, endpoint: slot.endpoint, action, service: plan.name, model, version, adapters })
  plan.kept.push(slot)
}

/** Unloads older weights from an endpoint once the current weights of its service are ready. */
function unloadUnused (round: Round): void {
  const ordered = new Set(round.orders.map(order => `${order.agent}/${order.endpoint}`))
  for (const plan of round.plans) {
    for (const slot of plan.kept) {
      if (!acceptsOrders(slot) || ordered.has(slot.key) || !isReady(slot, plan.service)) continue
      const outdated = slot.models.find(model => model.model !== plan.service.model || model.version !== plan.service.version)
      if (outdated === undefined) continue
      round.orders.push({ agent: slot.agent, endpoint: slot.endpoint, action: 'unload', service: plan.name, model: outdated.model, version: outdated.version, adapters: [] })
    }
  }
}

function isReady (slot: Slot, service: ModelService): boolean {
  return slot.models.some(model => model.model === service.model && model.version === service.version && model.state === 'ready')
}
