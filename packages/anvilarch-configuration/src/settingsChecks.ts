/** Checks of the daemon settings that involve more than one field. */
import { describeValue, type FieldProblem } from './problems'
import type { DaemonSettings, EndpointSettings } from './types'

/** Checks by role. */
const ROLE_CHECKS: Record<DaemonSettings['role'], (settings: DaemonSettings) => FieldProblem[]> = {
  gateway: checkGateway,
  agent: checkAgent
}

/** Checks by kind of endpoint. */
const ENDPOINT_CHECKS: Record<EndpointSettings['kind'], (endpoint: EndpointSettings, index: number) => FieldProblem[]> = {
  plain: (endpoint, index) => {
    if (endpoint.service !== undefined) return []
    return [{ path: ['agent', 'endpoints', index, 'service'], found: 'nothing', expected: 'the service that a plain endpoint belongs to' }]
  },
  model: (endpoint, index) => {
    if (endpoint.service === undefined) return []
    return [{
      path: ['agent', 'endpoints', index, 'service'],
      found: describeValue(endpoint.service),
      expected: 'no service, since a model endpoint gets its service by an order'
    }]
  }
}

/**
 * @param settings - settings that match the schema
 * @returns their problems
 */
export function checkSettings (settings: DaemonSettings): FieldProblem[] {
  return [...ROLE_CHECKS[settings.role](settings), ...checkListenAddresses(settings)]
}

function checkGateway (settings: DaemonSettings): FieldProblem[] {
  const problems: FieldProblem[] = []
  if (settings.listen.callers === undefined) {
    problems.push({ path: ['listen', 'callers'], found: 'nothing', expected: 'the IP number and port where a gateway listens to callers' })
  }
  if (settings.gateway.pollIntervalMs >= settings.gateway.leaseMs) {
    problems.push({
      path: ['gateway', 'leaseMs'],
      found: String(settings.gateway.leaseMs),
      expected: `more than pollIntervalMs, which is ${settings.gateway.pollIntervalMs}, or leases lapse between two polls`
    })
  }
  return problems
}

function checkAgent (settings: DaemonSettings): FieldProblem[] {
  const problems = checkEndpointNames(settings.agent.endpoints)
  if (settings.listen.callers !== undefined) {
    problems.push({ path: ['listen', 'callers'], found: describeValue(settings.listen.callers), expected: 'nothing, since only a gateway listens to callers' })
  }
  if (settings.agent.endpoints.length === 0) {
    problems.push({ path: ['agent', 'endpoints'], found: 'no endpoint', expected: 'at least one endpoint beside an agent' })
  }
  return [...problems, ...settings.agent.endpoints.flatMap((endpoint, index) => ENDPOINT_CHECKS[endpoint.kind](endpoint, index))]
}

function checkEndpointNames (endpoints: EndpointSettings[]): FieldProblem[] {
  return endpoints.flatMap((endpoint, index) => {
    const first = endpoints.findIndex(other => other.name === endpoint.name)
    if (first === index) return []
    return [{
      path: ['agent', 'endpoints', index, 'name'],
      found: `${describeValue(endpoint.name)}, which endpoints[${first}] has too`,
      expected: 'a name of its own for each endpoint'
    }]
  })
}

/** Port 0 stands for any free port, so two of them do not conflict. */
function checkListenAddresses (settings: DaemonSettings): FieldProblem[] {
  const seen = new Map<string, string>()
  return Object.entries(settings.listen).flatMap(([purpose, address]) => {
    if (address === undefined || address.endsWith(':0')) return []
    const other = seen.get(address)
    seen.set(address, purpose)
    if (other === undefined) return []
    return [{ path: ['listen', purpose], found: `${describeValue(address)}, which listen.${other} has too`, expected: 'an address of its own for each listener' }]
  })
}
