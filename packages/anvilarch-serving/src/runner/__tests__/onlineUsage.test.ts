import { createFakeClock, type FakeClock } from 'anvilarch-utils'
import { USAGE_REPORT_INTERVAL_MS } from '../../endpoints/usageReporter'
import { createOnlineUsage, type OnlineUsage } from '../onlineUsage'

let clock: FakeClock
let use: OnlineUsage

beforeEach(() => {
  clock = createFakeClock(1000)
  use = createOnlineUsage(clock)
  use.onPoll('e@1', 0)
})

describe('createOnlineUsage', () => {
  it('adds what gateways have told since the last look, each by its own count', () => {
    use.onUsageReport('g1', 'e@1', 1)
    use.onUsageReport('g2', 'e@1', 2)
    use.onUsageReport('g1', 'e@1', 2)
    expect(use.online()).toBe(4)
    use.onUsageReport('g2', 'e@1', 0)
    expect(use.online()).toBe(2)
  })

  it('goes by the look: it also shows requests of which no notice has come', () => {
    use.onUsageReport('g1', 'e@1', 1)
    use.onPoll('e@1', 3)
    expect(use.online()).toBe(3)
    use.onUsageReport('g1', 'e@1', 0)
    expect(use.online()).toBe(2)
  })

  // Guards against this: batch items give way at an engine that nobody uses.
  it('forgets a gateway that tells nothing any more', () => {
    use.onUsageReport('g1', 'e@1', 5)
    use.onPoll('e@1', 5)
    clock.advance(3 * USAGE_REPORT_INTERVAL_MS + 1)
    expect(use.online()).toBe(0)
  })

  it('starts anew with another start of the engine, and takes no notice about the former one', () => {
    use.onUsageReport('g1', 'e@1', 5)
    use.onPoll('e@2', 0)
    use.onUsageReport('g1', 'e@1', 6)
    expect(use.online()).toBe(0)
    use.onUsageReport('g1', 'e@2', 1)
    expect(use.online()).toBe(1)
  })
})
