/** What a gateway knows of the agents: the host list, control exchanges and the replies that flow anyway. */
import type { EndpointLoad, EndpointState } from 'anvilarch-protocol'

/** An agent as this gateway sees it. */
export interface AgentView {
  name: string
  host: string
  /** IP number and port of its HTTP/2 listener. */
  address: string
  operationsAddress: string
  incarnation: string
  failureDomain: string
  region: string
  /** `unreachable`: it did not answer; no new work goes there until it does. */
  state: 'serving' | 'draining' | 'unreachable'
  configurationVersion: number
  /** On the gateway's monotonic scale. */
  lastHeardMs: number
  endpoints: EndpointState[]
}

/** The agents known to this gateway. */
export interface AgentDirectory {
  /** @returns the agents now; for use at once, since the array changes with the next event */
  list: () => AgentView[]
  get: (name: string) => AgentView | undefined
  /** A reply carried a load report. */
  noteLoad: (agent: string, load: EndpointLoad) => void
  /** An agent refused work because it drains. */
  noteDraining: (agent: string) => void
  /** An agent could not be reached, or went silent. */
  noteUnreachable: (agent: string) => void
  /** An agent answered with an incarnation other than the known one. */
  noteIncarnation: (agent: string, incarnation: string) => void
  /** An endpoint crashed or is not answering; it gets no work until the agent says it is ready. */
  noteEndpointDown: (agent: string, endpoint: string) => void
  /**
   * @returns a promise while this process catches up after a pause: until it resolves, what the directory shows is as old as the pause,
   * and may name agents that have begun to leave; undefined otherwise
   */
  catchUp?: () => Promise<void> | undefined
  /** @returns a function that ends the subscription */
  onChange: (listener: () => void) => () => void
}
