import { type AddressInfo, createServer } from 'node:net'
import { probeConnection } from '../connectProbe'

describe('probeConnection', () => {
  it('tells a port with a listener from one without', async () => {
    const server = createServer(socket => { socket.on('error', () => {}) })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    expect(await probeConnection(address)).toBe('connected')
    await new Promise(resolve => server.close(resolve))
    expect(await probeConnection(address)).toBe('refused')
  })
})
