import { SILENT_LOGGER } from 'anvilarch-utils'
import type { EventLog } from '../../telemetry/events'
import { createRequestTrail, MAX_KEPT_EVENTS, type RequestTrail } from '../requestTrail'

let statuses: unknown[]
let trail: RequestTrail

function begun (status: number): void {
  trail.note('answer begun', { requestId: 'r', endpoint: 'e', status, afterMs: 1 })
}

beforeEach(() => {
  statuses = []
  const log: EventLog = { ...SILENT_LOGGER, info: (_message, fields) => { statuses.push((fields as { status: number }).status) }, child: () => log }
  trail = createRequestTrail(log)
})

describe('createRequestTrail', () => {
  it('writes nothing of a request that goes well', () => {
    begun(1)
    expect(statuses).toEqual([])
  })

  it('writes what came before and after a request has gone wrong, in order and once', () => {
    begun(1)
    begun(2)
    trail.reveal()
    begun(3)
    trail.reveal()
    expect(statuses).toEqual([1, 2, 3])
  })

  it('keeps the newest events only', () => {
    for (let status = 0; status < MAX_KEPT_EVENTS + 2; status++) begun(status)
    trail.reveal()
    expect(statuses).toHaveLength(MAX_KEPT_EVENTS)
    expect(statuses[0]).toBe(2)
  })
})
