import { createFakeClock } from 'anvilarch-utils'
import { call } from '../../__fixtures__/callStandin'
import { startWeightStandin } from '../weightStandin'

describe('startWeightStandin', () => {
  test('rejects a transfer above its concurrency limit with a Retry-After header', async () => {
    const clock = createFakeClock()
    const weights = await startWeightStandin({ maxConcurrent: 1, transferMs: 50, clock })
    const calls = [call(`${weights.url}/weights/m/1`), call(`${weights.url}/weights/m/1`)]
    await Promise.race(calls)
    clock.advance(50)
    const responses = await Promise.all(calls)
    expect(responses.map(response => response.status).sort()).toEqual([200, 429])
    expect(responses.find(response => response.status === 429)?.headers['retry-after']).toBe('1')
    expect(weights.ledger()).toMatchObject({ refused: 1, mostConcurrent: 1 })
    await weights.close()
  })
})
