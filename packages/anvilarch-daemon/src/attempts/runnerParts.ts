/** Parts shared by the request tasks of a gateway. */
import type { DaemonContext } from '../context'
import type { AgentDirectory } from '../membership/types'
import type { AgentClients } from '../peers/types'
import type { Quarantine } from '../quarantine/types'
import type { Router } from '../routing/types'
import type { RetryBudget } from './retryBudget'
import type { Suspects } from './suspects'

/** Shared parts of the requests of one gateway. */
export interface RunnerParts {
  context: DaemonContext
  directory: AgentDirectory
  clients: AgentClients
  quarantine: Quarantine
  router: Router
  budget: RetryBudget
  suspects: Suspects
  /** @returns an attempt id that no gateway has used before */
  nextAttemptId: () => string
}
