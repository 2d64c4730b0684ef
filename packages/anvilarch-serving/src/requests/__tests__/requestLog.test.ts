import { SILENT_LOGGER } from 'anvilarch-utils'
import type { EventLog } from '../../telemetry/events'
import { createRequestLog, MAX_BUFFERED_EVENTS, type RequestLog } from '../requestLog'

let statuses: unknown[]
let requestLog: RequestLog

function noteResponse (status: number): void {
  requestLog.note('answer begun', { requestId: 'r', endpoint: 'e', status, afterMs: 1 })
}

beforeEach(() => {
  statuses = []
  const log: EventLog = { ...SILENT_LOGGER, info: (_message, fields) => { statuses.push((fields as { status: number }).status) }, child: () => log }
  requestLog = createRequestLog(log)
})

describe('createRequestLog', () => {
  it('writes nothing without a flush', () => {
    noteResponse(1)
    expect(statuses).toEqual([])
  })

  it('writes the events before and after a flush, in order and once', () => {
    noteResponse(1)
    noteResponse(2)
    requestLog.flush()
    noteResponse(3)
    requestLog.flush()
    expect(statuses).toEqual([1, 2, 3])
  })

  it('buffers only the newest events', () => {
    for (let status = 0; status < MAX_BUFFERED_EVENTS + 2; status++) noteResponse(status)
    requestLog.flush()
    expect(statuses).toHaveLength(MAX_BUFFERED_EVENTS)
    expect(statuses[0]).toBe(2)
  })
})
