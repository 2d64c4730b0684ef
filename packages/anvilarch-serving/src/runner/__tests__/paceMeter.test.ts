import type { EngineRun } from '../../roles/types'
import { createPaceMeter, PACE_MAX_AGE_MS, type PaceMeter } from '../paceMeter'

/** Reports runs that produce an event every `intervalMs`, at polls 100 ms apart. */
function report (meter: PaceMeter, intervalMs: number, fromMs: number, untilMs: number, runCount = 4): void {
  for (let atMs = fromMs; atMs <= untilMs; atMs += 100) {
    const runs: EngineRun[] = Array.from({ length: runCount }, (_, index) => ({ requestId: `r${index}`, events: 1 + Math.floor((atMs + 7 * index) / intervalMs) }))
    meter.onReport(runs, atMs)
  }
}

describe('createPaceMeter', () => {
  it('measures the time between two events of a run', () => {
    const meter = createPaceMeter()
    report(meter, 20, 0, 500)
    expect(meter.eventIntervalMs(500)).toBeCloseTo(20, 0)
  })

  // Guards against an engine that is chosen for its pace of a second ago.
  it('follows an engine that becomes five times slower within half a second', () => {
    const meter = createPaceMeter()
    report(meter, 20, 0, 1000)
    report(meter, 100, 1100, 1600)
    expect(meter.eventIntervalMs(1600)).toBeGreaterThan(50)
  })

  it('tells an engine that has stopped producing events from one without runs', () => {
    const stopped = createPaceMeter()
    report(stopped, 100_000, 100_000, 102_000)
    expect(stopped.eventIntervalMs(102_000)).toBeGreaterThan(500)
    const idle = createPaceMeter()
    report(idle, 20, 0, 1000, 0)
    expect(idle.eventIntervalMs(1000)).toBeUndefined()
  })

  it('ignores runs that still read their prompt', () => {
    const meter = createPaceMeter()
    for (let atMs = 0; atMs <= 3000; atMs += 100) meter.onReport([{ requestId: 'r', events: 0 }], atMs)
    expect(meter.eventIntervalMs(3000)).toBeUndefined()
  })

  // Guards against a slow engine that gets no work and is never measured again.
  it('does not know the pace of an engine that has had no runs for a while', () => {
    const meter = createPaceMeter()
    report(meter, 100, 0, 1000)
    expect(meter.eventIntervalMs(1000 + PACE_MAX_AGE_MS)).toBeDefined()
    expect(meter.eventIntervalMs(1001 + PACE_MAX_AGE_MS)).toBeUndefined()
  })

  // Guards against the pace of a former start under the same id.
  it('forgets the pace at a restart', () => {
    const meter = createPaceMeter()
    report(meter, 100, 0, 1000)
    meter.onRestart()
    expect(meter.eventIntervalMs(1000)).toBeUndefined()
    report(meter, 20, 1100, 1600)
    expect(meter.eventIntervalMs(1600)).toBeCloseTo(20, 0)
  })

  it('is not misled by a request id that is used again', () => {
    const meter = createPaceMeter()
    report(meter, 20, 1000, 1500)
    meter.onReport([{ requestId: 'r0', events: 0 }], 1600)
    expect(meter.eventIntervalMs(1600)).toBeCloseTo(20, 0)
  })
})
