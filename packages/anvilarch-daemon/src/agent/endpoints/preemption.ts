/** Coordinates the preemption and the resumption of a run. */

/** Two signals: the slot at the engine is free, and the run may continue. */
export interface Preemption {
  markSlotFree: () => void
  slotFree: Promise<void>
  resume: () => void
  resumed: Promise<void>
}

/** @returns a preemption with neither signal given */
export function createPreemption (): Preemption {
  let markSlotFree = (): void => {}
  let resume = (): void => {}
  const slotFree = new Promise<void>(resolve => { markSlotFree = resolve })
  const resumed = new Promise<void>(resolve => { resume = resolve })
  return { markSlotFree, slotFree, resume, resumed }
}
