import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { DEFAULT_AGENT_SETTINGS, DEFAULT_GATEWAY_SETTINGS } from '../defaults'
import { formatIssues } from '../formatIssues'
import { validateSettings } from '../validate'

const EXAMPLES = join(__dirname, '../../../../examples')

const GATEWAY = {
  role: 'gateway',
  name: 'gateway-1',
  host: 'entry-1',
  failureDomain: 'norte',
  region: 'ba',
  listen: { callers: '127.0.0.1:0', peers: '127.0.0.1:0', operations: '[::1]:8082' },
  platform: { tableUrl: 'http://127.0.0.1:1', objectsUrl: 'http://127.0.0.1:2', hostsUrl: 'http://127.0.0.1:3' }
}
const MODEL_ENDPOINT = { name: 'engine-1', kind: 'model', url: 'http://127.0.0.1:9000' }
const AGENT = {
  ...GATEWAY,
  role: 'agent',
  listen: { peers: '127.0.0.1:0', operations: '127.0.0.1:0' },
  agent: { endpoints: [MODEL_ENDPOINT] }
}

function withEndpoint (endpoint: object): object {
  return { ...AGENT, agent: { endpoints: [MODEL_ENDPOINT, endpoint] } }
}

const CASES: Array<[string, object, string, string]> = [
  ['a gateway without a callers address', { ...GATEWAY, listen: { peers: '127.0.0.1:0', operations: '127.0.0.1:0' } }, 'listen.callers', 'where a gateway listens to callers'],
  ['an agent with a callers address', { ...AGENT, listen: GATEWAY.listen }, 'listen.callers', 'only a gateway listens to callers'],
  ['an agent without endpoints', { ...AGENT, agent: {} }, 'agent.endpoints', 'at least one endpoint'],
  ['a plain endpoint without a service', withEndpoint({ name: 'p', kind: 'plain', url: 'http://a' }), 'agent.endpoints[1].service', 'the service that a plain endpoint belongs to'],
  ['a model endpoint with a service', withEndpoint({ name: 'm', kind: 'model', service: 's', url: 'http://a' }), 'agent.endpoints[1].service', 'by an order'],
  ['two endpoints with the same name', withEndpoint(MODEL_ENDPOINT), 'agent.endpoints[1].name', 'a name of its own'],
  ['a port above the maximum', { ...AGENT, listen: { peers: '127.0.0.1:70000', operations: '127.0.0.1:0' } }, 'listen.peers', 'a port up to 65535'],
  ['a host name instead of an IP address', { ...AGENT, listen: { peers: 'localhost:1', operations: '127.0.0.1:0' } }, 'listen.peers', 'an IP number and a port'],
  ['two listeners on the same address', { ...AGENT, listen: { peers: '127.0.0.1:81', operations: '127.0.0.1:81' } }, 'listen.operations', 'an address of its own'],
  ['a URL of another scheme', { ...AGENT, platform: { ...GATEWAY.platform, tableUrl: 'ftp://a' } }, 'platform.tableUrl', 'an http:// or https:// URL'],
  ['a lease shorter than the poll interval', { ...GATEWAY, gateway: { leaseMs: 100 } }, 'gateway.leaseMs', 'more than pollIntervalMs, which is 2000'],
  ['an unknown role', { ...GATEWAY, role: 'gate' }, 'role', 'one of "gateway", "agent"'],
  ['an unknown log level', { ...GATEWAY, log: { level: 'inf' } }, 'log.level', 'one of "trace", "debug", "info", "warn", "error"']
]

describe('validateSettings', () => {
  it('fills in all defaults', () => {
    const settings = validateSettings(JSON.stringify(GATEWAY), 'gateway.jsonc').unwrap()
    expect(settings.gateway).toEqual(DEFAULT_GATEWAY_SETTINGS)
    expect(settings.agent).toEqual(DEFAULT_AGENT_SETTINGS)
    expect(settings.log).toEqual({ level: 'info' })
    expect(settings.platform).toMatchObject({ adapter: 'http', timeoutMs: 3000 })
  })

  it('fills in the defaults of endpoints', () => {
    const settings = validateSettings(JSON.stringify(AGENT), 'agent.jsonc').unwrap()
    expect(settings.agent.endpoints).toEqual([{ ...MODEL_ENDPOINT, checksFencing: true, slots: 32 }])
  })

  it.each(CASES)('reports %s', (_name, settings, field, expected) => {
    const issues = validateSettings(JSON.stringify(settings, null, 2), 'test.jsonc').val
    expect(issues).toContainEqual(expect.objectContaining({ field, expected: expect.stringContaining(expected) }))
  })

  it.each(['gateway.settings.jsonc', 'agent.settings.jsonc'])('accepts the example %s', fileName => {
    expect(validateSettings(readFileSync(join(EXAMPLES, fileName), 'utf8'), fileName).ok).toBe(true)
  })
})

describe('formatIssues', () => {
  it('contains file, line, column, field, found and expected value and similar names', () => {
    const text = JSON.stringify({ ...GATEWAY, gateway: { silenceMS: 5 } }, null, 2)
    const result = validateSettings(text, 'gateway.jsonc')
    expect(result.ok ? '' : formatIssues(result.val)).toMatch(
      /^gateway\.jsonc:18:5: gateway\.silenceMS: found the unknown key "silenceMS"\n {4}expected one of the keys .*\n {4}did you mean "silenceMs"\?$/
    )
  })
})
