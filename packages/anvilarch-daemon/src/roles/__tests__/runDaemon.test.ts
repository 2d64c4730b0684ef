import { request as httpRequest } from 'node:http'
import { validateSettings } from 'anvilarch-configuration'
import { ROW_KEYS } from 'anvilarch-protocol'
import { startHostStandin, startObjectStandin, startTableStandin, type TableStandin } from 'anvilarch-standins'
import { documentText } from '../../configuration/__fixtures__/documents'
import { runDaemon, type RunningDaemon } from '../runDaemon'

interface Rig { daemon: RunningDaemon, table: TableStandin, callers: string }

const open: Array<() => Promise<void>> = []

afterEach(async () => {
  for (const close of open.splice(0)) await close()
})

async function startGateway (): Promise<Rig> {
  const [table, objects, hosts] = [await startTableStandin(), await startObjectStandin(), await startHostStandin()]
  open.push(table.close, objects.close, hosts.close)
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
  open.unshift(daemon.stop)
  // The first renewal of the heartbeat comes before the callers' address is known; a later one names it.
  const { address } = await until(() => table.rows(ROW_KEYS.gateways).map(found => JSON.parse(found.value) as { address: string }).find(row => !row.address.endsWith(':0')))
  return { daemon, table, callers: `http://${address}` }
}

const MAX_TRIES = 1000

async function until<Value> (find: () => Value | undefined | Promise<Value | undefined>): Promise<Value> {
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
  // Guards against this: no endpoint is given to a service for ten minutes.
  it('is ready with a configuration, and hands its lease on at once when it drains, while a request goes on', async () => {
    const { daemon, table, callers } = await startGateway()
    expect(await statusOf(`http://${daemon.operationsAddress}/healthz`)).toBe(200)
    expect(await statusOf(`http://${daemon.operationsAddress}/readyz`)).toBe(503)
    const applied = await fetch(`${callers}/admin/v1/configuration`, { method: 'POST', body: JSON.stringify({ documentText: documentText(1), fileName: 'd', appliedBy: 'ana' }) })
    expect([applied.status, await applied.json()]).toEqual([200, expect.objectContaining({ version: 1, changed: true })])
    await until(async () => await statusOf(`http://${daemon.operationsAddress}/readyz`) === 200 ? true : undefined)
    await until(() => holderOf(table)?.startsWith('gateway-1.') === true ? true : undefined)

    const body = `{"documentText":${JSON.stringify(documentText(2))},"appliedBy":"ana"}`
    const slow = httpRequest(`${callers}/admin/v1/configuration`, { method: 'POST', headers: { 'content-length': body.length } })
    const answered = new Promise<number | undefined>((resolve, reject) => {
      slow.on('response', response => { response.resume().on('end', () => { resolve(response.statusCode) }) }).on('error', reject)
    })
    await new Promise<void>(resolve => { slow.write(body.slice(0, 10), () => { resolve() }) })
    await until(() => daemon.context.timeline.query().some(event => event.event === 'configuration.applied') ? true : undefined)

    const stopped = daemon.stop()
    await until(() => holderOf(table) === '' ? true : undefined)
    slow.end(body.slice(10))
    expect(await answered).toBe(200)
    await stopped
    expect(table.rows(ROW_KEYS.gateways)).toEqual([])
  })
})
