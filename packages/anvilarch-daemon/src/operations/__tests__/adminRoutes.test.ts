import { createBodyLimits, createSystemClock } from 'anvilarch-utils'
import { Readable } from 'node:stream'
import type { CallerContext } from '../../callers/types'
import { documentText } from '../../configuration/__fixtures__/documents'
import type { ObservedGateway } from '../../leases/types'
import { createAgentDirectory, type MutableDirectory } from '../../membership/agentDirectory'
import { createFakeFleet, type FakeFleet, hostEntry } from '../../membership/__fixtures__/fakeAgents'
import { newMember } from '../../membership/memberRecord'
import type { AgentClients } from '../../peers/types'
import { createAdminRoutes } from '../adminRoutes'

interface AdminResponse { status: number, body: Record<string, unknown> }

interface AdminFixture { fleet: FakeFleet, directory: MutableDirectory, drained: string[], observed: ObservedGateway[], call: (method: string, path: string, body?: unknown, params?: Record<string, string>) => Promise<AdminResponse> }

function start (): AdminFixture {
  const fleet = createFakeFleet(0)
  const directory = createAgentDirectory(fleet.context)
  const drained: string[] = []
  const observed: ObservedGateway[] = []
  const clients = { get: (address: string) => ({ drain: async () => { drained.push(address); return { running: 2 } } }) } as unknown as AgentClients
  const own = { instance: 'gateway-1.i', address: 'a', operationsAddress: 'o', state: 'serving' }
  const describeSelf = (): typeof own & { configurationVersion: number } => ({ ...own, configurationVersion: fleet.context.configuration.version() })
  const routes = createAdminRoutes(fleet.context, { directory, clients, observer: { list: () => observed } as never, describeSelf })
  const call: AdminFixture['call'] = async (method, path, body, params = {}) => {
    const route = routes.find(found => found.method === method && found.path === `/admin/v1${path}`)
    const received: AdminResponse = { status: 0, body: {} }
    const response = { once: () => {}, writeHead: (status: number) => { received.status = status }, end: (text: string) => { received.body = JSON.parse(text) as AdminResponse['body'] } }
    const request = Object.assign(Readable.from(body === undefined ? [] : [Buffer.from(typeof body === 'string' ? body : JSON.stringify(body))]), { headers: {} })
    await route?.handle({ request, response, params, caller: 'ana', query: new URLSearchParams(), bodies: createBodyLimits({ clock: createSystemClock(), limitBytes: 1_000_000 }) } as unknown as CallerContext)
    return received
  }
  return { fleet, directory, drained, observed, call }
}

function addAgent (fixture: AdminFixture, name: string, version: number): void {
  const record = newMember(hostEntry(`${name}:1`), 0)
  const endpoints = [{ endpoint: 'engine', kind: 'model', service: 'audit-writer', health: 'ready', models: [{ model: 'auditor', version: 'v1', adapters: [], state: 'ready' }], fencingToken: 7n }]
  fixture.directory.put({ ...record, isResponsive: true, view: { ...record.view, name, state: 'serving', configurationVersion: version, endpoints: endpoints as never } })
}

describe('createAdminRoutes', () => {
  it('applies a document, shows it, and reports the current version on a conflict', async () => {
    const fixture = start()
    await expect(fixture.call('GET', '/configuration')).rejects.toMatchObject({ code: 'not_found', step: 'configuration.show' })
    const body = { documentText: documentText(1), fileName: 'office.jsonc', appliedBy: 'ana' }
    expect(await fixture.call('POST', '/configuration', body)).toMatchObject({ status: 200, body: { version: 1, changed: true } })
    expect(await fixture.call('GET', '/configuration')).toMatchObject({ status: 200, body: { version: 1, appliedBy: 'ana', document: { formatVersion: 1 } } })
    expect(await fixture.call('POST', '/configuration', { ...body, documentText: documentText(2), ifVersion: 0 })).toMatchObject({ status: 409, body: { version: 1 } })
    expect(await fixture.call('POST', '/configuration', { ...body, documentText: '{ "formatVersion": 2 }' })).toMatchObject({ status: 422, body: { issues: expect.any(Array) } })
    fixture.fleet.platform.outage = true
    expect(await fixture.call('GET', '/configuration')).toMatchObject({ status: 200, body: { version: 1 } })
    await expect(fixture.call('POST', '/configuration', body)).rejects.toMatchObject({ code: 'platform_unavailable', ran: 'not_run' })
  })

  it('reports what is wrong with a body', async () => {
    const fixture = start()
    await expect(fixture.call('POST', '/configuration', 'no json')).rejects.toMatchObject({ code: 'bad_request' })
    await expect(fixture.call('POST', '/configuration', { fileName: 'f' })).rejects.toThrow('"documentText"')
    await expect(fixture.call('POST', '/configuration', { documentText: '{}', ifVersion: -1 })).rejects.toThrow('"ifVersion"')
  })

  it('reports a version as in force only when all live daemons have it', async () => {
    const fixture = start()
    await fixture.call('POST', '/configuration', { documentText: documentText(1), appliedBy: 'ana' })
    addAgent(fixture, 'agent-1', 0)
    expect((await fixture.call('GET', '/status')).body.inForce).toBe(false)
    addAgent(fixture, 'agent-1', 1)
    expect((await fixture.call('GET', '/status')).body).toMatchObject({ inForce: true, agents: [{ name: 'agent-1', endpoints: [{ fencingToken: 7 }] }], jobs: { active: 0 } })
    const row = { name: 'gateway-2', incarnation: 'i', sequence: 1, address: 'b', operationsAddress: 'p', configurationVersion: 0, state: 'serving' as const, heldParts: 0 }
    fixture.observed.push({ instance: 'gateway-2.i', row, state: 'alive' })
    expect((await fixture.call('GET', '/status')).body).toMatchObject({ inForce: false, gateways: [{ instance: 'gateway-1.i' }, { instance: 'gateway-2.i' }] })
    fixture.observed[0].state = 'dead'
    expect((await fixture.call('GET', '/status')).body.inForce).toBe(true)
  })

  it('lists services and endpoints, and drains an agent by name', async () => {
    const fixture = start()
    expect((await fixture.call('GET', '/services')).body).toEqual({ services: [] })
    await fixture.call('POST', '/configuration', { documentText: documentText(1), appliedBy: 'ana' })
    addAgent(fixture, 'agent-1', 1)
    expect((await fixture.call('GET', '/services')).body).toMatchObject({ services: [{ name: 'audit-writer', replicas: 3, ready: 1 }] })
    expect((await fixture.call('GET', '/endpoints')).body).toMatchObject({ endpoints: [{ agent: 'agent-1', endpoint: 'engine', failureDomain: 'bole-hall' }] })
    await expect(fixture.call('POST', '/agents/:name/drain', {}, { name: 'agent-2' })).rejects.toThrow('Did you mean "agent-1"?')
    expect(await fixture.call('POST', '/agents/:name/drain', {}, { name: 'agent-1' })).toMatchObject({ status: 200, body: { running: 2 } })
    expect([fixture.drained, fixture.directory.get('agent-1')?.state]).toEqual([['agent-1:1'], 'draining'])
    expect((await fixture.call('GET', '/services')).body).toMatchObject({ services: [{ ready: 0 }] })
  })
})
