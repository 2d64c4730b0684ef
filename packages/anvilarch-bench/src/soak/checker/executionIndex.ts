/** Looks up executions by request id. */
import type { Execution } from 'anvilarch-standins'

const indexes = new WeakMap<readonly Execution[], Map<string, Execution[]>>()

/**
 * @param executions - of the ledger
 * @param requestId - id of one call
 * @returns its executions
 */
export function executionsOf (executions: readonly Execution[], requestId: string): Execution[] {
  let index = indexes.get(executions)
  if (index === undefined) {
    index = buildIndex(executions)
    indexes.set(executions, index)
  }
  return index.get(requestId) ?? []
}

function buildIndex (executions: readonly Execution[]): Map<string, Execution[]> {
  const index = new Map<string, Execution[]>()
  for (const execution of executions) {
    const known = index.get(execution.requestId)
    if (known === undefined) index.set(execution.requestId, [execution])
    else known.push(execution)
  }
  return index
}

/** The request id of an item starts with the id of its job. */
const ITEM_REQUEST_ID = /^(batch_[0-9a-z]+)\./

/**
 * @param execution - of the ledger
 * @returns id of the job whose item was executed; undefined for an online call
 */
export function jobOfExecution (execution: Execution): string | undefined {
  return ITEM_REQUEST_ID.exec(execution.requestId)?.[1]
}
