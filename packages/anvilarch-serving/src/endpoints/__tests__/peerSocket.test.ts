import { createFakeClock, SILENT_LOGGER } from 'anvilarch-utils'
import type { EventLog } from '../../telemetry/events'
import { openPeerSocket } from '../peerSocket'

describe('openPeerSocket', () => {
  // Guards against reports that are never sent again because one peer has an invalid address.
  it('does not throw for an invalid address, and logs it at a bounded rate', () => {
    const events: string[] = []
    const log = { ...SILENT_LOGGER, warn: (event: string) => { events.push(event) } } as EventLog
    const socket = openPeerSocket({ clock: createFakeClock(), log, own: { ip: '127.0.0.1', port: 0 }, onMessage: () => {} })
    for (const port of [0, -1, 65_536, 1e9, 1e300, NaN, Infinity]) socket.send({ message: 'load_probe', correlationId: 1 }, { ip: '127.0.0.1', port })
    for (const ip of ['', 'no host', '256.0.0.1']) socket.send({ message: 'load_probe', correlationId: 1 }, { ip, port: 1 })
    socket.close()
    expect(events).toEqual(['peer message not sent'])
  })
})
