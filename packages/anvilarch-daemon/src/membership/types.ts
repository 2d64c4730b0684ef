/** Types of a gateway's agent directory, which is fed by the host list, control exchanges and the responses to attempts. */
import type { EndpointLoad, EndpointState } from 'anvilarch-protocol'

/** An agent in the directory of this gateway. */
export interface AgentView {
  name: string
  host: string
  /** IP address and port of its HTTP/2 server. */
  address: string
  operationsAddress: string
  incarnation: string
  failureDomain: string
  region: string
  /** `unreachable`: it does not respond; it gets no new work until it does. */
  state: 'serving' | 'draining' | 'unreachable'
  configurationVersion: number
  /** Time of the last response, on the gateway's monotonic clock. */
  lastHeardMs: number
  endpoints: EndpointState[]
}

/** Directory of the agents known to this gateway. */
export interface AgentDirectory {
  /** @returns the current agents; not to be retained, since the array is modified in place by the next event */
  list: () => AgentView[]
  get: (name: string) => AgentView | undefined
  /** Records the load report of a response. */
  noteLoad: (agent: string, load: EndpointLoad) => void
  /** Records that an agent rejected work because it is draining. */
  noteDraining: (agent: string) => void
  /** Records that an agent was unreachable or unresponsive. */
  noteUnreachable: (agent: string) => void
  /** Records the incarnation of a response, which may differ from the known one. */
  noteIncarnation: (agent: string, incarnation: string) => void
  /** Records that an endpoint crashed or is unresponsive; it gets no work until the agent reports it as ready. */
  noteEndpointDown: (agent: string, endpoint: string) => void
  /**
   * @returns a promise while the host list is read again after a process pause; until it resolves, the directory is outdated and may
   * contain agents that have started draining; undefined otherwise
   */
  catchUp?: () => Promise<void> | undefined
  /** @returns a function that ends the subscription */
  onChange: (listener: () => void) => () => void
}
