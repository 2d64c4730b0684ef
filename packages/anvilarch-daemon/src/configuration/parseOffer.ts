/** Parses a document from a peer or the platform, which must be valid and match its hash. */
import { createHash } from 'node:crypto'
import { type ConfigurationDocument, type ConfigurationIssue, validateDocument } from 'anvilarch-configuration'

/** A document in serialized form. */
export interface OfferedDocument {
  version: number
  hash: string
  documentJson: string
}

/** A valid document, or the reason why it is rejected. */
export type ParsedOffer =
  | { ok: true, document: ConfigurationDocument }
  | { ok: false, reason: 'wrong_hash' }
  | { ok: false, reason: 'not_valid', issues: ConfigurationIssue[] }

/**
 * @param offered - a document with its expected hash
 * @returns the document, or the reason why it is rejected
 */
export function parseOffer (offered: OfferedDocument): ParsedOffer {
  if (hashOfText(offered.documentJson) !== offered.hash) return { ok: false, reason: 'wrong_hash' }
  const result = validateDocument(offered.documentJson, `version ${offered.version}`)
  return result.ok ? { ok: true, document: result.val } : { ok: false, reason: 'not_valid', issues: result.val }
}

/**
 * @param text - canonical text of a document
 * @returns its hash
 */
export function hashOfText (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}
