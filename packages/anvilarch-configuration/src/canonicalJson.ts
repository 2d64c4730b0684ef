/** Canonical JSON of documents, so that equal documents have equal hashes whatever the order of their keys. */
import { createHash } from 'node:crypto'
import type { ConfigurationDocument } from './types'

/**
 * @param document - a validated document
 * @returns JSON without whitespace, with the keys of each object sorted
 */
export function canonicalJson (document: ConfigurationDocument): string {
  return JSON.stringify(document, (_key, value: unknown) => isPlainObject(value) ? sortKeys(value) : value)
}

/**
 * @param document - a validated document
 * @returns SHA-256 of its canonical JSON, as hex digits
 */
export function hashDocument (document: ConfigurationDocument): string {
  return createHash('sha256').update(canonicalJson(document)).digest('hex')
}

function isPlainObject (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function sortKeys (object: Record<string, unknown>): Record<string, unknown> {
  return Object.fromEntries(Object.entries(object).sort(([left], [right]) => left < right ? -1 : 1))
}
