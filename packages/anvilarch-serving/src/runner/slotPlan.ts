/**
 * Decides how many batch items an engine may run beside its online requests.
 *
 * The engine admits requests in order of arrival and has no priorities: in a burst of online requests, one that finds all slots
 * occupied waits several seconds for a batch item. Batch items therefore leave one slot free, and are preempted as soon as none
 * is free.
 */

/** Report of the engine, and the batch items of the agent. */
export interface SlotPlanInput {
  slots: number
  running: number
  waiting: number
  /** Batch items of this agent that the engine runs or is about to run. */
  ownItems: number
  /** Items that are about to start, or have started too recently for the report to count them. */
  ownUnreported: number
}

/** Number of items to start and to preempt; at most one of the two is above zero. */
export interface SlotPlan {
  start: number
  preempt: number
}

/** Slots that batch items leave free: one takes an online request while the engine is still dropping the item that is preempted for it. */
export const RESERVED_SLOTS = 1

/**
 * @param input - report and own items
 * @returns how many items to start or to preempt
 */
export function planBatchSlots (input: SlotPlanInput): SlotPlan {
  const reportedFree = input.slots - input.running - input.waiting
  // An item that has just started may be in the report already; counting it again would preempt items right after their start.
  if (reportedFree < RESERVED_SLOTS) return { start: 0, preempt: Math.min(input.ownItems, RESERVED_SLOTS - reportedFree) }
  return { start: Math.max(0, reportedFree - input.ownUnreported - RESERVED_SLOTS), preempt: 0 }
}

/** Spare slots that are reserved for items with a tight deadline while requests have recently preempted items. */
const TIGHT_DEADLINE_SLOTS = 1

/** A slot that a request has taken from an item is usually free again after this long. */
const RECENT_PREEMPTION_MS = 800

/** Input of `countToStart`. */
export interface StartInput {
  /** Slots in which an item may start. */
  count: number
  /** Items that wait for a slot, the most urgent first. */
  items: ReadonlyArray<{ tightDeadline: boolean }>
  /** Online requests at the engine. */
  online: number
  /** Time since an item at this engine was last preempted for a request. */
  sincePreemptionMs: number
}

/**
 * Limits the starts within a burst, where the load rises and falls: an item in the last slot would be preempted for the next
 * request, start again when that request has ended, and so on; each time its claim is saved and its prompt read again. The
 * experiment `placement` shows how many preemptions this saves.
 *
 * @param input - slots and items
 * @returns how many of the items to start
 */
export function countToStart ({ count, items, online, sincePreemptionMs }: StartInput): number {
  const maxCount = Math.min(count, items.length)
  const inBurst = online > 0 && sincePreemptionMs < RECENT_PREEMPTION_MS
  const countForAny = inBurst ? Math.max(0, count - TIGHT_DEADLINE_SLOTS) : maxCount
  let starting = 0
  while (starting < maxCount && (starting < countForAny || items[starting].tightDeadline)) starting++
  return starting
}

/**
 * Decides between two polls of the engine, when a gateway has just sent a request to it, how many items to preempt.
 *
 * @param slots - slots of the engine
 * @param online - requests that cannot be preempted
 * @param ownItems - running batch items
 * @returns how many items to preempt
 */
export function countToPreempt (slots: number, online: number, ownItems: number): number {
  const free = slots - online - ownItems
  return Math.max(0, Math.min(ownItems, RESERVED_SLOTS - free))
}

/** A request reaches the local engine, and its report, within this time. */
const REPORT_LAG_MS = 15

/**
 * @param startedAtMs - when each running item was sent
 * @param reportRequestedAtMs - when the report was requested
 * @returns how many items the report may not count yet
 */
export function countUnreported (startedAtMs: readonly number[], reportRequestedAtMs: number): number {
  return startedAtMs.filter(atMs => atMs > reportRequestedAtMs - REPORT_LAG_MS).length
}
