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

  // Guards against responses that are cut before the deadline of their request.
  it('does not fire a timer early if the timer of Node.js does', async () => {
    const DELAY_MS = 20
    let nowMs = 1000
    const now = jest.spyOn(performance, 'now').mockImplementation(() => nowMs)
    let fired = false
    const timer = createSystemClock().after(DELAY_MS, () => { fired = true })
    nowMs += DELAY_MS - 0.5
    await new Promise(resolve => setTimeout(resolve, 3 * DELAY_MS))
    expect(fired).toBe(false)
    nowMs += 0.5
    await new Promise(resolve => setTimeout(resolve, DELAY_MS))
    expect(fired).toBe(true)
    timer.cancel()
    now.mockRestore()
  })
})
