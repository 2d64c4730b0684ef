import { createFakeClock } from 'anvilarch-utils'
import { runOpenLoop, type ScheduledRequest } from '../openLoop'

describe('runOpenLoop', () => {
  test('sends at the intended times while earlier requests are in progress', async () => {
    const clock = createFakeClock(1000)
    const sentAtMs: number[] = []
    const running = runOpenLoop({
      clock,
      timesMs: [0, 10, 20],
      warmUpMs: 0,
      drainMs: 50,
      send: async () => {
        sentAtMs.push(clock.nowMs())
        await new Promise(() => {})
      }
    })
    await clock.advanceAsync(200)
    expect(sentAtMs).toEqual([1000, 1010, 1020])
    expect(await running).toMatchObject({ sent: 3, unfinished: 3 })
  })

  test('passes the intended time to a request that is sent late', async () => {
    const clock = createFakeClock()
    const requests: ScheduledRequest[] = []
    const running = runOpenLoop({
      clock,
      timesMs: [0, 1, 2],
      warmUpMs: 2,
      drainMs: 10,
      send: async request => {
        requests.push(request)
        if (request.index === 0) clock.advance(30)
      }
    })
    await clock.advanceAsync(100)
    const result = await running
    expect(requests.map(request => request.intendedMs)).toEqual([0, 1, 2])
    expect(requests.map(request => request.measured)).toEqual([false, false, true])
    expect(result).toMatchObject({ unfinished: 0, maxSendDelayMs: 29 })
  })

  test('stops sending when the signal is aborted', async () => {
    const clock = createFakeClock()
    const controller = new AbortController()
    const running = runOpenLoop({ clock, timesMs: [0, 10, 20], warmUpMs: 0, drainMs: 0, signal: controller.signal, send: async () => {} })
    await clock.advanceAsync(5)
    controller.abort()
    expect((await running).sent).toBe(1)
  })

  test('counts a rejected send as an error of the bench', async () => {
    const clock = createFakeClock()
    const running = runOpenLoop({ clock, timesMs: [0], warmUpMs: 0, drainMs: 0, send: async () => { throw new Error('fault') } })
    await clock.advanceAsync(5)
    expect((await running).clientErrors).toBe(1)
  })
})
