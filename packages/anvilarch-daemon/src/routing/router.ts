/** Indexes the endpoints of each service and applies the configured routing policy. */
import type { DaemonContext } from '../context'
import type { AgentDirectory } from '../membership/types'
import { type Candidates, candidatesByService } from './candidates'
import { createLoadTable } from './loadTable'
import { createOutlierTable } from './outliers'
import { chooseTarget } from './policies'
import type { Router, RoutingInput, Target } from './types'

/** The index of endpoints is rebuilt when it is older than this. */
const MAX_INDEX_AGE_MS = 1_000

/**
 * @param context - settings, configuration, time and random numbers
 * @param directory - agents known to this gateway
 * @returns a router without requests in progress
 */
export function createRouter (context: DaemonContext, directory: AgentDirectory): Router {
  const loads = createLoadTable()
  const outliers = createOutlierTable((endpoint, durationMs) => {
    context.metrics.ejections.inc({ endpoint })
    context.timeline.record('routing.ejected', { detail: { endpoint, durationMs } })
    context.logger.warn('an endpoint fails far more than the others and is asked less', { endpoint, durationMs })
  })
  let candidates: Candidates = new Map()
  let builtAtMs: number | undefined
  let turn = 0

  const invalidate = (): void => { builtAtMs = undefined }
  directory.onChange(invalidate)
  context.configuration.onChange(invalidate)

  const rebuild = (): void => {
    const agents = directory.list()
    candidates = candidatesByService(agents, context.configuration.current()?.document)
    const known = new Set<string>()
    const ready = new Set<string>()
    for (const agent of agents) {
      for (const endpoint of agent.endpoints) {
        const key = `${agent.name}/${endpoint.endpoint}`
        known.add(key)
        if (endpoint.health === 'ready') ready.add(key)
        if (endpoint.load !== undefined) loads.noteReport(key, endpoint.load)
      }
    }
    loads.retain(known)
    // Endpoints that are not ready are removed, so that failures of one process do not count against its restart.
    outliers.retain(ready)
  }

  const targetsOf = (service: string): readonly Target[] => {
    const nowMs = context.clock.nowMs()
    if (builtAtMs === undefined || nowMs - builtAtMs > MAX_INDEX_AGE_MS) {
      rebuild()
      builtAtMs = nowMs
    }
    return candidates.get(service) ?? []
  }

  const ejectedOf = (targets: readonly Target[]): ReadonlySet<string> => outliers.ejected(targets.map(target => target.key), context.clock.nowMs())

  const choose = (input: RoutingInput): Target | undefined => {
    const targets = targetsOf(input.service)
    const ejected = ejectedOf(targets)
    return chooseTarget(context.settings.gateway.routingPolicy, {
      ...input,
      avoid: ejected.size === 0 ? input.avoid : new Set([...input.avoid, ...ejected]),
      targets,
      loadOf: target => loads.estimate(target.key, input.workClass),
      ownFailureDomain: context.settings.failureDomain,
      ownRegion: context.settings.region,
      turn: turn++,
      random: context.random.next
    })
  }

  return {
    choose,
    noteSent: (target, workClass) => { loads.noteSent(target.key, workClass) },
    noteResponded: (target, workClass) => { loads.noteResponded(target.key, workClass) },
    noteEnded: (target, workClass) => { loads.noteEnded(target.key, workClass) },
    noteOutcome: (target, isFailure) => { outliers.noteOutcome(target.key, isFailure, context.clock.nowMs()) },
    noteLoad: (target, load) => {
      loads.noteReport(target.key, load)
      directory.noteLoad(target.agent, load)
    },
    invalidate,
    freeBatch: service => {
      const targets = targetsOf(service)
      const ejected = ejectedOf(targets)
      return targets
        .filter(target => !ejected.has(target.key))
        .reduce((sum, target) => sum + Math.max(0, loads.estimate(target.key, 'batch').free ?? 0), 0)
    }
  }
}
