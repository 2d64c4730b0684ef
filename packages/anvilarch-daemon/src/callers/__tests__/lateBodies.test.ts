import { connect, type Socket } from 'node:net'
import { startTestGateway, type TestGateway } from '../../attempts/__fixtures__/testGateway'

const DRAIN_TIMEOUT_MS = 2_500

/** Longer than a drain lasts after its readiness lead. */
const LATE_MS = 6_000

let gateway: TestGateway

interface Upload {
  socket: Socket
  end: () => void
  /** Resolves with what the caller received when its connection closes. */
  received: Promise<string>
}

/** Sends the head of a reservation and the first half of its body, in chunks. */
async function startUpload (headers = ''): Promise<Upload> {
  const socket = connect(Number(gateway.callers.address.split(':')[1]), '127.0.0.1')
  let text = ''
  socket.on('data', data => { text += data.toString() })
  socket.on('error', () => {})
  socket.write(`POST /services/names/names/a/reservations HTTP/1.1\r\nhost: x\r\n${headers}transfer-encoding: chunked\r\n\r\n5\r\n{"for\r\n`)
  const received = new Promise<string>(resolve => { socket.once('close', () => { resolve(text) }) })
  await wait(100)
  return { socket, received, end: () => { socket.write('5\r\n": 1}\r\n0\r\n\r\n') } }
}

const wait = async (ms: number): Promise<void> => { await new Promise(resolve => { setTimeout(resolve, ms) }) }

describe('a request whose body ends late in a drain', () => {
  beforeAll(() => { jest.spyOn(console, 'error').mockImplementation(() => {}) })
  beforeEach(async () => { gateway = await startTestGateway({ agents: [{ name: 'a1', hold: true }], gateway: { drainTimeoutMs: DRAIN_TIMEOUT_MS } }) })
  afterEach(async () => { await gateway.stop() })

  // Guards against requests that are read late in a drain, run, and cut at its end.
  it('is not run, and its caller is told so, if the drain may cut it', async () => {
    const upload = await startUpload()
    const drained = gateway.callers.drain()
    await wait(500)
    upload.end()
    const text = await upload.received
    expect(text).toMatch(/^HTTP\/1.1 503[^]*retry-after: 1[^]*"code":"draining"[^]*"ran":"not_run"/i)
    expect(gateway.agents[0].starts).toEqual([])
    await drained
  })

  it('is run if its deadline is before the end of the drain', async () => {
    const upload = await startUpload('x-deadline-ms: 1000\r\n')
    const drained = gateway.callers.drain()
    await wait(300)
    upload.end()
    await wait(300)
    expect(gateway.agents[0].starts).toHaveLength(1)
    gateway.agents[0].release()
    expect(await upload.received).toMatch(/^HTTP\/1.1 200[^]*\r\n0\r\n\r\n$/)
    await drained
  })

  it('is answered before the drain cuts it if its body does not end, also to a caller that is still sending', async () => {
    const upload = await startUpload()
    const sending = setInterval(() => { upload.socket.write('1\r\nx\r\n') }, 5)
    upload.socket.pause()
    const drained = gateway.callers.drain()
    setTimeout(() => { upload.socket.resume() }, DRAIN_TIMEOUT_MS - 700)
    const text = await upload.received
    clearInterval(sending)
    expect(text).toMatch(/^HTTP\/1.1 503[^]*"code":"draining"[^]*"ran":"not_run"/)
    expect(gateway.agents[0].starts).toEqual([])
    await drained
  }, LATE_MS)
})
