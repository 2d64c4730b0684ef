import { createFakeClock, type FakeClock } from 'anvilarch-utils'
import { USAGE_REPORT_INTERVAL_MS } from '../../endpoints/usageReporter'
import { createOnlineUse, type OnlineUse } from '../onlineUse'

let clock: FakeClock
let use: OnlineUse

beforeEach(() => {
  clock = createFakeClock(1000)
  use = createOnlineUse(clock)
  use.onLook('e@1', 0)
})

describe('createOnlineUse', () => {
  it('adds what gateways have told since the last look, each by its own count', () => {
    use.onNotice('g1', 'e@1', 1)
    use.onNotice('g2', 'e@1', 2)
    use.onNotice('g1', 'e@1', 2)
    expect(use.online()).toBe(4)
    use.onNotice('g2', 'e@1', 0)
    expect(use.online()).toBe(2)
  })

  it('goes by the look: it also shows requests of which no notice has come', () => {
    use.onNotice('g1', 'e@1', 1)
    use.onLook('e@1', 3)
    expect(use.online()).toBe(3)
    use.onNotice('g1', 'e@1', 0)
    expect(use.online()).toBe(2)
  })

  // Guards against this: batch items give way at an engine that nobody uses.
  it('forgets a gateway that tells nothing any more', () => {
    use.onNotice('g1', 'e@1', 5)
    use.onLook('e@1', 5)
    clock.advance(3 * USAGE_REPORT_INTERVAL_MS + 1)
    expect(use.online()).toBe(0)
  })

  it('starts anew with another start of the engine, and takes no notice about the former one', () => {
    use.onNotice('g1', 'e@1', 5)
    use.onLook('e@2', 0)
    use.onNotice('g1', 'e@1', 6)
    expect(use.online()).toBe(0)
    use.onNotice('g1', 'e@2', 1)
    expect(use.online()).toBe(1)
  })
})
