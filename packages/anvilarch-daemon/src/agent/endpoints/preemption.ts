/** Where a run that was cut off waits until it may go on. */

/** Two signals: the slot at the engine is free, and the run may go on. */
export interface Preemption {
  markSlotFree: () => void
  slotFree: Promise<void>
  resume: () => void
  resumed: Promise<void>
}

/** @returns a park that nobody waits in yet */
export function createPreemption (): Preemption {
  let markSlotFree = (): void => {}
  let resume = (): void => {}
  const slotFree = new Promise<void>(resolve => { markSlotFree = resolve })
  const resumed = new Promise<void>(resolve => { resume = resolve })
  return { markSlotFree, slotFree, resume, resumed }
}
