/**
 * What is known of an endpoint: whether it answers, which process it is, and which models it has loaded.
 *
 * A crash must be told from a connection that was lost, since the requests in progress at a crash are suspects.
 * A refused connection or a changed incarnation is a crash; silence or a reset of one connection alone is not.
 */
import type { EndpointAdapter, ProcessStatus, LoadedModelState, ProbeResult } from './endpoints/types'

/** Health as gateways are told. */
export type HealthState = 'ready' | 'starting' | 'crashed'

/** Listener to changes of health. */
export interface HealthListener {
  onUp: () => void
  /** It answers no more: nothing new is sent there. */
  onDown: (detail: string) => void
  /** The process that ran there is gone. */
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
  /** Number of the probe, counted from one, whose answer is the newest. */
  lastRespondedProbe: () => number
  /** Asks the endpoint; calls made while an answer is awaited share it. */
  probe: () => Promise<ProbeResult>
  /** @returns what became of the process that had this incarnation */
  checkProcess: (incarnation: string) => Promise<ProcessStatus>
}

/** Probes without an answer, one after another, after which the endpoint counts as down. */
const MAX_FAILED_PROBES = 2

/**
 * @param adapter - asks the endpoint
 * @param listener - told of changes
 * @returns health that begins as `starting`
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
