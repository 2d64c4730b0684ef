/** Applies a configuration document through the operator interface of a gateway. */
import { basename } from 'node:path'
import { callJson } from './waits'

/** The response of the gateway. */
export interface AppliedDocument {
  version: number
  hash: string
  changed: boolean
}

/**
 * @param gatewayUrl - caller-facing address of a gateway
 * @param file - name of the file, for error messages
 * @param documentText - the document, JSON with comments
 * @returns version and hash of the applied document
 */
export async function applyDocument (gatewayUrl: string, file: string, documentText: string): Promise<AppliedDocument> {
  return await callJson<AppliedDocument>('POST', `${gatewayUrl}/admin/v1/configuration`, { documentText, fileName: basename(file), appliedBy: 'fleet' })
}
