import { createFakeClock } from 'anvilarch-utils'
import { createTimeline } from '../createTimeline'

describe('createTimeline', () => {
  it('keeps the latest events in order, and queries them by request, job, time and limit', () => {
    const clock = createFakeClock(1000)
    const timeline = createTimeline({ clock, process: 'agent-1', capacity: 4 })
    for (let index = 0; index < 6; index++) {
      timeline.record('attempts.started', { requestId: `r${index % 2}`, jobId: `j${index}` })
      clock.advance(10)
    }
    expect(timeline.query().map(event => event.sequence)).toEqual([2, 3, 4, 5])
    expect(timeline.query({ requestId: 'r1' }).map(event => event.sequence)).toEqual([3, 5])
    expect(timeline.query({ jobId: 'j4' })).toEqual([{ atMs: 1040, sequence: 4, process: 'agent-1', event: 'attempts.started', requestId: 'r0', jobId: 'j4' }])
    expect(timeline.query({ sinceMs: 1040 }).map(event => event.sequence)).toEqual([4, 5])
    expect(timeline.query({ limit: 1 }).map(event => event.sequence)).toEqual([5])
  })
})
