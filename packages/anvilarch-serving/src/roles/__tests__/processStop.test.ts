import { createFakeClock, type FakeClock, SILENT_LOGGER } from 'anvilarch-utils'
import type { EventLog } from '../../telemetry/events'
import { createProcessStop, type ProcessStop } from '../processStop'

const GRACE_MS = 8000

let clock: FakeClock
let stop: ProcessStop
let counts: { stopping: number, stops: number, exits: number }
let finishStop: () => void

beforeEach(() => {
  clock = createFakeClock()
  counts = { stopping: 0, stops: 0, exits: 0 }
  stop = createProcessStop({ clock, log: SILENT_LOGGER as EventLog, graceMs: GRACE_MS, onStopping: () => { counts.stopping++ }, exit: () => { counts.exits++ } })
})

const role = {
  stop: async () => {
    counts.stops++
    await new Promise<void>(resolve => { finishStop = resolve })
  }
}

describe('the stop of a process', () => {
  // Guards against a process that ends at once because the signal comes while it starts.
  it('stops a role that was still starting when the signal came', async () => {
    stop.onSignal()
    expect(counts).toEqual({ stopping: 1, stops: 0, exits: 0 })
    stop.onStarted(role)
    expect(counts.stops).toBe(1)
    finishStop()
    await clock.advanceAsync(0)
    expect(counts.exits).toBe(1)
  })

  // Guards against requests that a second signal cuts.
  it('ignores further signals while requests are finished', async () => {
    stop.onStarted(role)
    stop.onSignal()
    await clock.advanceAsync(3000)
    stop.onSignal()
    expect(counts).toEqual({ stopping: 1, stops: 1, exits: 0 })
    await clock.advanceAsync(GRACE_MS - 3001)
    expect(counts.exits).toBe(1)
  })
})
