import type { HostEntry } from 'anvilarch-protocol'
import { createFakeClock } from 'anvilarch-utils'
import { callForJson } from '../../__fixtures__/callStandin'
import { startHostStandin } from '../hostStandin'

const HOST: HostEntry = { host: 'host-1', role: 'agent', address: '127.0.0.1:1', failureDomain: 'domain-a', region: 'local', state: 'live' }

describe('startHostStandin', () => {
  test('shows a change only after the lag has elapsed', async () => {
    const clock = createFakeClock()
    const hosts = await startHostStandin({ clock, faults: { lagMs: 1000 } })
    await callForJson(`${hosts.url}/hosts`, { method: 'PUT', body: { hosts: [HOST] } })
    clock.advance(999)
    expect(await callForJson(`${hosts.url}/hosts`)).toEqual({ hosts: [] })
    clock.advance(1)
    expect(await callForJson(`${hosts.url}/hosts`)).toEqual({ hosts: [HOST] })
    await hosts.close()
  })
})
