/**
 * Decides how many batch items an engine may run beside its online requests.
 *
 * Answers bursts of online requests: the engine admits in order of arrival and knows no priorities, so that a request
 * which finds all slots taken waits for a batch item of several seconds. Batch items leave one slot free,
 * and give way as soon as none is.
 */

/** What the engine reports and what the agent runs there. */
export interface SlotPlanInput {
  slots: number
  running: number
  waiting: number
  /** Batch items of this agent that the engine runs or is about to run. */
  ownItems: number
  /** Items that are about to start, or have started too lately for the report to count them. */
  ownUnreported: number
}

/** What to do now; at most one of both is above zero. */
export interface SlotPlan {
  start: number
  preempt: number
}

/**
 * Free slots that batch leaves. Online requests come to an engine about every 100 ms in a burst; the free slot takes one of
 * them while the item that gives way for it is still being dropped by the engine.
 */
export const RESERVED_SLOTS = 1

/**
 * @param input - report and own items
 * @returns how many items to start or to stop
 */
export function planBatchSlots (input: SlotPlanInput): SlotPlan {
  const reportedFree = input.slots - input.running - input.waiting
  // An item that has just started may be in the report already; to stop for it would break off what has hardly begun.
  if (reportedFree < RESERVED_SLOTS) return { start: 0, preempt: Math.min(input.ownItems, RESERVED_SLOTS - reportedFree) }
  return { start: Math.max(0, reportedFree - input.ownUnreported - RESERVED_SLOTS), preempt: 0 }
}

/** Of the slots to spare, this many are left to items that cannot wait while requests have lately taken slots from items. */
const SPARE_SLOTS = 1

/** In a burst, requests come to an engine every 100 ms and hold a slot for 700; without a cut for this long there is none. */
const RECENT_CUT_MS = 800

/** What decides how many items start. */
export interface StartInput {
  /** Slots into which an item may start. */
  count: number
  /** Items that want a slot, the most urgent first. */
  items: ReadonlyArray<{ tightDeadline: boolean }>
  /** Online requests at the engine. */
  online: number
  /** Time since an item here gave way to a request. */
  sincePreemptionMs: number
}

/**
 * Answers load that goes up and down within a burst: an item in the last slot gives way to the next request, starts again
 * when that one has ended, and so on; each time its claim is saved and its prompt read again. Experiment `placement` says
 * how many cuts this saves.
 *
 * @param input - slots and items
 * @returns how many of the items start
 */
export function countToStart ({ count, items, online, sincePreemptionMs: sinceCutMs }: StartInput): number {
  const most = Math.min(count, items.length)
  const inBurst = online > 0 && sinceCutMs < RECENT_CUT_MS
  const forAny = inBurst ? Math.max(0, count - SPARE_SLOTS) : most
  let starting = 0
  while (starting < most && (starting < forAny || items[starting].tightDeadline)) starting++
  return starting
}

/**
 * Decides between two looks at the engine, when a gateway has just sent a request there.
 *
 * @param slots - of the engine
 * @param online - requests that do not give way
 * @param ownItems - batch items that run
 * @returns how many items give way
 */
export function countToPreempt (slots: number, online: number, ownItems: number): number {
  const free = slots - online - ownItems
  return Math.max(0, Math.min(ownItems, RESERVED_SLOTS - free))
}

/** A request reaches the engine beside the agent, and its report, within this time. */
const UNSEEN_MS = 15

/**
 * @param startedAtMs - when each running item was sent
 * @param reportAskedAtMs - when the report was asked for
 * @returns how many items the report may not count yet
 */
export function countUnreported (startedAtMs: readonly number[], reportAskedAtMs: number): number {
  return startedAtMs.filter(atMs => atMs > reportAskedAtMs - UNSEEN_MS).length
}
