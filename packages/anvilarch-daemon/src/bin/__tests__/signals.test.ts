import { type ChildProcess, spawn } from 'node:child_process'
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net'
import { join } from 'node:path'

const ROOT = join(__dirname, '../../../../..')
const SCRIPT = join(ROOT, 'packages/anvilarch-daemon/lib/bin/anvilarchd.js')
/** The document is invalid, which is reported without the platform. */
const WHOLE_RESPONSE = /^HTTP\/1.1 422[^]*\r\n0\r\n\r\n$/
const BODY = '{"documentText":"{}","appliedBy":"ana"}'

/** Longer than the time that a forced exit leaves. */
const FORCED_MS = 2_500

const TEST_TIMEOUT_MS = 30_000

let directory: string
let platform: Server
let daemon: ChildProcess
let log = ''
let callersPort = 0

const wait = async (ms: number): Promise<void> => { await new Promise(resolve => { setTimeout(resolve, ms) }) }

async function listen (): Promise<Server> {
  const server = createServer(socket => { socket.on('error', () => {}).resume() })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return server
}

const portOf = (server: Server): number => (server.address() as AddressInfo).port

/** Starts a gateway whose platform accepts connections and never answers, so that its start takes seconds. */
async function startGateway (timeoutMs: number): Promise<void> {
  const reserved = await listen()
  callersPort = portOf(reserved)
  await new Promise(resolve => reserved.close(resolve))
  const url = `http://127.0.0.1:${portOf(platform)}`
  const settings = join(directory, 'settings.json')
  writeFileSync(settings, JSON.stringify({
    role: 'gateway',
    name: 'gateway-1',
    host: 'entry-1',
    failureDomain: 'bole-hall',
    region: 'addis',
    listen: { callers: `127.0.0.1:${callersPort}`, peers: '127.0.0.1:0', operations: '127.0.0.1:0' },
    platform: { tableUrl: url, objectsUrl: url, hostsUrl: url, timeoutMs },
    log: { level: 'info' }
  }))
  log = ''
  daemon = spawn(process.execPath, [SCRIPT, '--settings', settings], { stdio: ['ignore', 'pipe', 'pipe'] })
  for (const stream of [daemon.stdout, daemon.stderr]) stream?.on('data', data => { log += String(data) })
}

interface HalfSent {
  socket: Socket
  /** Resolves with what the caller received when its connection closes. */
  received: Promise<string>
}

/** Connects as soon as the gateway listens, and sends a request without the end of its body. */
async function sendHalf (): Promise<HalfSent> {
  for (;;) {
    const socket = connect(callersPort, '127.0.0.1')
    const isOpen = await new Promise<boolean>(resolve => {
      socket.once('connect', () => { resolve(true) })
      socket.once('error', () => { resolve(false) })
    })
    if (isOpen) {
      let text = ''
      socket.on('error', () => {})
      socket.on('data', data => { text += String(data) })
      const received = new Promise<string>(resolve => { socket.once('close', () => { resolve(text) }) })
      socket.write(`POST /admin/v1/configuration HTTP/1.1\r\nhost: x\r\ncontent-length: ${BODY.length}\r\n\r\n${BODY.slice(0, 9)}`)
      await wait(100)
      return { socket, received }
    }
    await wait(20)
  }
}

async function untilStarted (): Promise<void> {
  while (!log.includes('"started"')) await wait(20)
}

async function exitOf (): Promise<[number | null, NodeJS.Signals | null]> {
  if (daemon.exitCode !== null || daemon.signalCode !== null) return [daemon.exitCode, daemon.signalCode]
  return await new Promise(resolve => { daemon.once('exit', (code, signal) => { resolve([code, signal]) }) })
}

describe('anvilarchd', () => {
  beforeEach(async () => {
    mkdirSync(join(ROOT, 'target'), { recursive: true })
    directory = mkdtempSync(join(ROOT, 'target/signals-'))
    platform = await listen()
  })

  afterEach(async () => {
    daemon.kill('SIGKILL')
    await exitOf()
    await new Promise(resolve => platform.close(resolve))
    rmSync(directory, { recursive: true })
  })

  // Guards against requests that are cut because SIGTERM has its default effect until all components have started.
  it('answers a request in progress when SIGTERM arrives during its start', async () => {
    await startGateway(2_000)
    const { socket, received } = await sendHalf()
    expect(log).not.toContain('"started"')
    daemon.kill('SIGTERM')
    await wait(300)
    socket.write(BODY.slice(9))
    expect(await received).toMatch(WHOLE_RESPONSE)
    expect(await exitOf()).toEqual([0, null])
  }, TEST_TIMEOUT_MS)

  it.each(['SIGTERM', 'SIGHUP'] as const)('answers a request in progress when %s follows SIGTERM', async second => {
    await startGateway(200)
    await untilStarted()
    const { socket, received } = await sendHalf()
    daemon.kill('SIGTERM')
    await wait(200)
    daemon.kill(second)
    await wait(FORCED_MS)
    socket.write(BODY.slice(9))
    expect(await received).toMatch(WHOLE_RESPONSE)
    expect(await exitOf()).toEqual([0, null])
  }, TEST_TIMEOUT_MS)

  it('goes on when SIGHUP arrives', async () => {
    await startGateway(200)
    await untilStarted()
    daemon.kill('SIGHUP')
    const { socket, received } = await sendHalf()
    socket.write(BODY.slice(9))
    await wait(200)
    socket.end()
    expect(await received).toMatch(WHOLE_RESPONSE)
  }, TEST_TIMEOUT_MS)
})
