/**
 * Health of an endpoint: whether it responds to probes, its process incarnation, and the models that it has loaded.
 *
 * A crash must be distinguished from a lost connection, since requests in progress at a crash are suspects. A refused
 * connection or a changed incarnation is a crash; a timeout or a reset of one connection alone is not.
 */
import type { EndpointAdapter, ProcessStatus, LoadedModelState, ProbeResult } from './endpoints/types'

/** Health as reported to gateways. */
export type HealthState = 'ready' | 'starting' | 'crashed'

/** Callbacks for changes of health. */
export interface HealthListener {
  onUp: () => void
  /** The endpoint is unreachable or unresponsive: no new work is sent to it. */
  onDown: (detail: string) => void
  /** The process of the endpoint has exited or was restarted. */
  onCrash: (detail: string) => void
}

/** Health of one endpoint. */
export interface EndpointHealth {
  state: () => HealthState
  incarnation: () => string
  models: () => LoadedModelState[]
  fencingToken: () => number
  /** Probes sent so far. */
  probesSent: () => number
  /** Sequence number, from 1, of the newest probe that got a response or was refused; 0 if none. */
  lastRespondedProbe: () => number
  /** Probes the endpoint; calls made while a probe is in progress share its result. */
  probe: () => Promise<ProbeResult>
  /** Probes over a new connection. @returns the status of the process that had this incarnation */
  checkProcess: (incarnation: string) => Promise<ProcessStatus>
}

/** Consecutive probes without a valid response after which the endpoint is down. A refused connection takes it down at once. */
const MAX_FAILED_PROBES = 2

/**
 * @param adapter - probes the endpoint
 * @param listener - callbacks for changes
 * @returns health, initially `starting`
 */
export function createEndpointHealth (adapter: Pick<EndpointAdapter, 'probe'>, listener: HealthListener): EndpointHealth {
  let state: HealthState = 'starting'
  let incarnation = ''
  let models: LoadedModelState[] = []
  let fencingToken = 0
  let failedProbes = 0
  let probesSent = 0
  let lastRespondedProbe = 0
  const inFlight = new Map<boolean, Promise<ProbeResult>>()

  const setDown = (detail: string): void => {
    if (state !== 'ready') return
    state = 'crashed'
    listener.onDown(detail)
  }

  const applyResult = (result: ProbeResult): void => {
    if (result.state === 'up') {
      failedProbes = 0
      const isNewProcess = incarnation !== '' && result.incarnation !== incarnation
      if (isNewProcess && state === 'ready') {
        listener.onCrash('the endpoint was restarted')
        setDown('the endpoint was restarted')
      }
      incarnation = result.incarnation
      models = result.models
      fencingToken = result.fencingToken
      if (state !== 'ready') {
        state = 'ready'
        listener.onUp()
      }
      return
    }
    if (result.state === 'refused') {
      if (state === 'ready') listener.onCrash(result.detail)
      models = []
      setDown(result.detail)
      return
    }
    failedProbes++
    if (failedProbes >= MAX_FAILED_PROBES) setDown(result.detail)
  }

  const probe = (fresh: boolean): Promise<ProbeResult> => {
    const shared = inFlight.get(fresh)
    if (shared !== undefined) return shared
    const sequence = ++probesSent
    const probing = adapter.probe(fresh).then(result => {
      inFlight.delete(fresh)
      if (result.state !== 'silent') lastRespondedProbe = Math.max(lastRespondedProbe, sequence)
      applyResult(result)
      return result
    })
    inFlight.set(fresh, probing)
    return probing
  }

  return {
    state: () => state,
    incarnation: () => incarnation,
    models: () => models,
    fencingToken: () => fencingToken,
    probesSent: () => probesSent,
    lastRespondedProbe: () => lastRespondedProbe,
    probe: async () => await probe(false),
    checkProcess: async before => {
      const result = await probe(true)
      if (result.state === 'silent') return 'silent'
      return result.state === 'up' && result.incarnation === before ? 'alive' : 'crashed'
    }
  }
}
