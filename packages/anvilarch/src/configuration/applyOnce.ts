/** Sends a configuration document once and determines its outcome, also when the response is lost. */
import { toCliError } from '../cliError'
import type { ApplyRequest, GatewayClient } from '../gateway/gatewayClient'
import type { ApplyResponse } from '../gateway/types'

/**
 * Applies a document. If the connection is lost after the document was sent, the outcome is unknown. Sending it again could
 * undo a change that another operator has applied in between, so the version in force is read instead.
 *
 * @param gateway - client of the gateways
 * @param request - the document
 * @param hash - hash of the document, compared with the hash in force when the response is lost
 * @returns the version under which the document is in force
 * @throws CliError when the document was rejected, or when the outcome can't be determined
 */
export async function applyOnce (gateway: GatewayClient, request: ApplyRequest, hash: string): Promise<ApplyResponse> {
  try {
    return await gateway.apply(request)
  } catch (thrown) {
    const error = toCliError(thrown)
    if (error.ran !== 'unknown') throw error
    const current = await gateway.configuration().catch(() => undefined)
    if (current?.hash !== hash) throw error
    return { version: current.version, hash, changed: true }
  }
}
