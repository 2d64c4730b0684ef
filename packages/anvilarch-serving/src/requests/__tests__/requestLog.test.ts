import { SILENT_LOGGER } from 'anvilarch-utils'
import type { EventLog } from '../../telemetry/events'
import { createRequestLog, MAX_BUFFERED_EVENTS, type RequestLog } from '../requestLog'

let statuses: unknown[]
let trail: RequestLog

function begun (status: number): void {
  trail.note('answer begun', { requestId: 'r', endpoint: 'e', status, afterMs: 1 })
}

beforeEach(() => {
  statuses = []
  const log: EventLog = { ...SILENT_LOGGER, info: (_message, fields) => { statuses.push((fields as { status: number }).status) }, child: () => log }
  trail = createRequestLog(log)
})

describe('createRequestLog', () => {
  it('writes nothing of a request that goes well', () => {
    begun(1)
    expect(statuses).toEqual([])
  })

  it('writes what came before and after a request has gone wrong, in order and once', () => {
    begun(1)
    begun(2)
    trail.flush()
    begun(3)
    trail.flush()
    expect(statuses).toEqual([1, 2, 3])
  })

  it('keeps the newest events only', () => {
    for (let status = 0; status < MAX_BUFFERED_EVENTS + 2; status++) begun(status)
    trail.flush()
    expect(statuses).toHaveLength(MAX_BUFFERED_EVENTS)
    expect(statuses[0]).toBe(2)
  })
})
