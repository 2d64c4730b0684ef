/** Types of the batch jobs of a gateway that other folders use. */
import type { RequestRunner } from '../attempts/types'
import type { Route } from '../callers/types'
import type { Heartbeat, LeaseObserver } from '../leases/types'
import type { AgentDirectory } from '../membership/types'

/** Dependencies of the jobs on other parts of the gateway. */
export interface JobsDependencies {
  /** Runs each item as a request of class `batch`. */
  runner: RequestRunner
  /** Notifies of changed endpoints, so that waiting items are dispatched again. */
  directory: AgentDirectory
  /** The lease of this gateway; its leases of job parts are valid only as long as this one. */
  heartbeat: Heartbeat
  /** Reports whether the holders of other parts are alive. */
  observer: LeaseObserver
}

/** Handle on the jobs of a running gateway. */
export interface JobsHandle {
  /** OpenAI-style routes for files and batches. */
  routes: Route[]
  /** Claims no more parts, commits finished items and releases all parts, so that other gateways continue them at once. */
  drain: () => Promise<void>
  /** Active jobs of the fleet, as last read from the table. */
  activeCount: () => number
  /** Number of parts leased by this gateway; published in its heartbeat row. */
  heldParts: () => number
}
