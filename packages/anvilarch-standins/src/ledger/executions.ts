/** The executions of one endpoint, which tests compare with the responses that callers received. */

/** State of one execution. */
export type ExecutionState = 'running' | 'completed' | 'cancelled'

/** One request that an endpoint has started to run. */
export interface Execution {
  /** Distinguishes two executions of the same attempt id, which would be a fault of the system under test. */
  executionId: string
  requestId: string
  attemptId: string
  startedAtMs: number
  endedAtMs?: number
  state: ExecutionState
  /** Name and incarnation of the endpoint. An execution of an earlier incarnation that is still `running` ended with that incarnation. */
  endpoint: string
  incarnation: string
}

/** A log of executions, the oldest first. */
export interface ExecutionLog {
  start: (execution: Execution) => void
  end: (executionId: string, state: ExecutionState, endedAtMs: number) => Execution | undefined
  list: (requestId?: string) => Execution[]
}

/** Maximum number of executions in a log. The oldest are evicted first, so that a long soak test does not exhaust the memory. */
const MAX_EXECUTIONS = 1_000_000

/** @returns an empty log */
export function createExecutionLog (): ExecutionLog {
  const byId = new Map<string, Execution>()
  return {
    start: execution => {
      byId.set(execution.executionId, execution)
      if (byId.size > MAX_EXECUTIONS) byId.delete(byId.keys().next().value as string)
    },
    end: (executionId, state, endedAtMs) => {
      const execution = byId.get(executionId)
      if (execution === undefined) return undefined
      execution.state = state
      if (state === 'running') delete execution.endedAtMs
      else execution.endedAtMs = endedAtMs
      return execution
    },
    list: requestId => {
      const all = [...byId.values()]
      return requestId === undefined ? all : all.filter(execution => execution.requestId === requestId)
    }
  }
}
