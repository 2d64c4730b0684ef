import { request as httpRequest } from 'node:http'
import { validateSettings } from 'anvilarch-configuration'
import { ROW_KEYS } from 'anvilarch-protocol'
import { startHostStandin, startObjectStandin, startTableStandin, type TableStandin } from 'anvilarch-standins'
import { documentText } from '../../configuration/__fixtures__/documents'
import { runDaemon, type RunningDaemon } from '../runDaemon'

interface TestGateway { daemon: RunningDaemon, table: TableStandin, callers: string }

const cleanups: Array<() => Promise<void>> = []

afterEach(async () => {
  for (const close of cleanups.splice(0)) await close()
})

async function startGateway (): Promise<TestGateway> {
  const [table, objects, hosts] = [await startTableStandin(), await startObjectStandin(), await startHostStandin()]
  cleanups.push(table.close, objects.close, hosts.close)
  const settings = validateSettings(JSON.stringify({
    role: 'gateway',
    name: 'gateway-1',
    host: 'entry-1',
    failureDomain: 'bole-hall',
    region: 'addis',
    listen: { callers: '127.0.0.1:0', peers: '127.0.0.1:0', operations: '127.0.0.1:0' },
    platform: { tableUrl: table.url, objectsUrl: objects.url, hostsUrl: hosts.url },
    log: { level: 'error' },
    gateway: { leaseMs: 2000, pollIntervalMs: 500 }
  }), 'settings').expect('valid settings')
  const daemon = await runDaemon(settings)
  cleanups.unshift(daemon.stop)
  // The first heartbeat is written before the callers' address is known; a later one has it.
  const { address } = await waitFor(() => table.rows(ROW_KEYS.gateways).map(found => JSON.parse(found.value) as { address: string }).find(row => !row.address.endsWith(':0')))
  return { daemon, table, callers: `http://${address}` }
}

const MAX_TRIES = 1000

async function waitFor<Value> (find: () => Value | undefined | Promise<Value | undefined>): Promise<Value> {
  for (let tries = 0; tries < MAX_TRIES; tries++) {
    const found = await find()
    if (found !== undefined) return found
    await new Promise(resolve => { setTimeout(resolve, 20) })
  }
  throw new Error(`never held: ${find.toString()}`)
}

const statusOf = async (url: string): Promise<number> => (await fetch(url)).status
const holderOf = (table: TableStandin): string | undefined => {
  const row = table.rows(ROW_KEYS.placementLease).at(0)
  return row === undefined ? undefined : (JSON.parse(row.value) as { holder: string }).holder
}

describe('runDaemon', () => {
  // Guards against ten minutes without placement of endpoints, because a draining gateway keeps the placement lease.
  it('is ready with a configuration, and releases its lease at once when it drains, while a request is in progress', async () => {
    const { daemon, table, callers } = await startGateway()
    expect(await statusOf(`http://${daemon.operationsAddress}/healthz`)).toBe(200)
    expect(await statusOf(`http://${daemon.operationsAddress}/readyz`)).toBe(503)
    const applied = await fetch(`${callers}/admin/v1/configuration`, { method: 'POST', body: JSON.stringify({ documentText: documentText(1), fileName: 'd', appliedBy: 'ana' }) })
    expect([applied.status, await applied.json()]).toEqual([200, expect.objectContaining({ version: 1, changed: true })])
    await waitFor(async () => await statusOf(`http://${daemon.operationsAddress}/readyz`) === 200 ? true : undefined)
    await waitFor(() => holderOf(table)?.startsWith('gateway-1.') === true ? true : undefined)

    const body = `{"documentText":${JSON.stringify(documentText(2))},"appliedBy":"ana"}`
    const slow = httpRequest(`${callers}/admin/v1/configuration`, { method: 'POST', headers: { 'content-length': body.length } })
    const responded = new Promise<number | undefined>((resolve, reject) => {
      slow.on('response', response => { response.resume().on('end', () => { resolve(response.statusCode) }) }).on('error', reject)
    })
    await new Promise<void>(resolve => { slow.write(body.slice(0, 10), () => { resolve() }) })
    await waitFor(() => daemon.context.timeline.query().some(event => event.event === 'configuration.applied') ? true : undefined)

    const stopped = daemon.stop()
    await waitFor(() => holderOf(table) === '' ? true : undefined)
    slow.end(body.slice(10))
    expect(await responded).toBe(200)
    await stopped
    expect(table.rows(ROW_KEYS.gateways)).toEqual([])
  })
})
