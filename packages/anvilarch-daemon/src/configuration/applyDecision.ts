/** Decides, as pure functions, how to apply a document given the current row in the table. */
import type { ConfigurationVersionRow, Row } from 'anvilarch-protocol'

/** Request of the operator. */
export interface ApplyRequest {
  hash: string
  /** Version that the operator expects; another one in the table is a conflict. */
  ifVersion?: number
}

/** Action to take. */
export type ApplyDecision =
  | { action: 'unchanged', version: number }
  | { action: 'conflict', version: number }
  | { action: 'write', version: number, conditionVersion: number }

/**
 * @param row - the row `config/version`, or null if there is none
 * @returns its value
 */
export function parseVersionRow (row: Row | null): ConfigurationVersionRow | undefined {
  return row === null ? undefined : JSON.parse(row.value) as ConfigurationVersionRow
}

/**
 * Applying the current document again changes nothing, even if `ifVersion` is old: it is most likely a retry after a lost
 * response, for which a conflict would wrongly indicate a concurrent change.
 *
 * @param row - the current row
 * @param request - the document to apply
 * @returns the action to take
 */
export function decideApply (row: Row | null, request: ApplyRequest): ApplyDecision {
  const known = parseVersionRow(row)
  const version = known?.version ?? 0
  if (known?.hash === request.hash) return { action: 'unchanged', version }
  if (request.ifVersion !== undefined && request.ifVersion !== version) return { action: 'conflict', version }
  return { action: 'write', version: version + 1, conditionVersion: row?.version ?? 0 }
}

/**
 * @param row - the row that caused the conflict of the commit
 * @param request - the document to apply
 * @returns the result; `unchanged` if the concurrent change applied the same document
 */
export function decideAfterConflict (row: Row | null, request: ApplyRequest): ApplyDecision {
  const decision = decideApply(row, request)
  return decision.action === 'write' ? { action: 'conflict', version: decision.version - 1 } : decision
}
