/** Reads the executions that the endpoints have reported, for comparison with the responses that callers received. */
import type { Execution } from '../ledger/executions'
import { callJson } from '../fleet/waits'
import type { Fleet } from '../fleet/types'

/**
 * @param fleet - the fleet
 * @param requestId - only executions of this request; all when undefined
 * @returns the executions
 */
export async function readExecutions (fleet: Fleet, requestId?: string): Promise<Execution[]> {
  const query = requestId === undefined ? '' : `?request=${encodeURIComponent(requestId)}`
  return (await callJson<{ executions: Execution[] }>('GET', `${fleet.urls.ledger}/ledger${query}`)).executions
}
