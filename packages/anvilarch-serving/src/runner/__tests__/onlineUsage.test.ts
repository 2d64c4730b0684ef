import { createFakeClock, type FakeClock } from 'anvilarch-utils'
import { USAGE_REPORT_INTERVAL_MS } from '../../endpoints/usageReporter'
import { createOnlineUsage, type OnlineUsage } from '../onlineUsage'

let clock: FakeClock
let usage: OnlineUsage

beforeEach(() => {
  clock = createFakeClock(1000)
  usage = createOnlineUsage(clock)
  usage.onPoll('e@1', 0)
})

describe('createOnlineUsage', () => {
  it('adds the reports of gateways since the last poll, each with its own count', () => {
    usage.onUsageReport('g1', 'e@1', 1)
    usage.onUsageReport('g2', 'e@1', 2)
    usage.onUsageReport('g1', 'e@1', 2)
    expect(usage.online()).toBe(4)
    usage.onUsageReport('g2', 'e@1', 0)
    expect(usage.online()).toBe(2)
  })

  it('uses the count of a poll, which includes requests without a usage report', () => {
    usage.onUsageReport('g1', 'e@1', 1)
    usage.onPoll('e@1', 3)
    expect(usage.online()).toBe(3)
    usage.onUsageReport('g1', 'e@1', 0)
    expect(usage.online()).toBe(2)
  })

  // Guards against batch items being preempted at an engine without online requests.
  it('removes a gateway that sends no more reports', () => {
    usage.onUsageReport('g1', 'e@1', 5)
    usage.onPoll('e@1', 5)
    clock.advance(3 * USAGE_REPORT_INTERVAL_MS + 1)
    expect(usage.online()).toBe(0)
  })

  it('resets with another start of the engine, and ignores reports about the previous one', () => {
    usage.onUsageReport('g1', 'e@1', 5)
    usage.onPoll('e@2', 0)
    usage.onUsageReport('g1', 'e@1', 6)
    expect(usage.online()).toBe(0)
    usage.onUsageReport('g1', 'e@2', 1)
    expect(usage.online()).toBe(1)
  })
})
