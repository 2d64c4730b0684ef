/** Runs the requests of one gateway. */
import type { WorkClass } from 'anvilarch-protocol'
import type { DaemonContext } from '../context'
import type { AgentDirectory } from '../membership/types'
import type { AgentClients } from '../peers/types'
import type { Quarantine } from '../quarantine/types'
import { createRouter } from '../routing/router'
import { createRequestTask } from './requestTask'
import { createRetryBudget, DEFAULT_OPTIONS as DEFAULT_BUDGET } from './retryBudget'
import type { RunnerParts } from './runnerParts'
import { createSuspects, type Suspects } from './suspects'
import type { RequestRunner } from './types'

/** Base of the counter in attempt ids. */
const ID_RADIX = 36

/** Dependencies of `createRequestRunner`. */
export interface RequestRunnerDependencies {
  directory: AgentDirectory
  clients: AgentClients
  quarantine: Quarantine
  /** Shared with the component that receives suspects from agents; created when absent. */
  suspects?: Suspects
}

/**
 * @param context - settings, clock, metrics and configuration
 * @param dependencies - agents, connections to them and quarantined requests
 * @returns a runner without requests in progress
 */
export function createRequestRunner (context: DaemonContext, dependencies: RequestRunnerDependencies): RequestRunner {
  const inProgress: Record<WorkClass, number> = { lookup: 0, online: 0, batch: 0 }
  let attempts = 0
  const parts: RunnerParts = {
    ...dependencies,
    context,
    router: createRouter(context, dependencies.directory),
    budget: createRetryBudget({ percent: context.settings.gateway.retryBudgetPercent, ...DEFAULT_BUDGET }),
    suspects: dependencies.suspects ?? createSuspects(),
    nextAttemptId: () => `${context.incarnation}-${(attempts++).toString(ID_RADIX)}`
  }

  return {
    run: async (request, options = {}) => {
      inProgress[request.workClass]++
      parts.budget.noteRequest(context.clock.nowMs())
      try {
        return await createRequestTask(parts, request, options.sink).run(options.signal)
      } finally {
        inProgress[request.workClass]--
      }
    },
    inProgress: () => ({ ...inProgress }),
    freeBatch: service => parts.router.freeBatch(service)
  }
}
