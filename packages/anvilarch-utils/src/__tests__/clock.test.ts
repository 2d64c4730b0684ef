import { createSystemClock } from '../clock'

describe('createSystemClock', () => {
  // Guards against requests that time out at once because their timeout is longer than a timer of Node.js can be.
  it.each([2 ** 31, 1e12, 1e300, Infinity])('does not fire at once a timer of %s ms', async delayMs => {
    let fired = false
    const timer = createSystemClock().after(delayMs, () => { fired = true })
    await new Promise(resolve => setTimeout(resolve, 20))
    timer.cancel()
    expect(fired).toBe(false)
  })
})
