/** Compares two configuration documents field by field. */
import type { ConfigurationDocument } from 'anvilarch-configuration'

/** One field that differs. */
export interface FieldChange {
  field: string
  change: 'added' | 'removed' | 'changed'
  before?: unknown
  after?: unknown
}

/** Formats of the changes for the terminal. */
const FORMATS: Record<FieldChange['change'], (change: FieldChange) => string> = {
  added: ({ field, after }) => `+ ${field}: ${JSON.stringify(after)}`,
  removed: ({ field, before }) => `- ${field}: ${JSON.stringify(before)}`,
  changed: ({ field, before, after }) => `~ ${field}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`
}

/**
 * @param before - the current document
 * @param after - the new document
 * @returns the fields that differ, sorted by name
 */
export function diffDocuments (before: ConfigurationDocument, after: ConfigurationDocument): FieldChange[] {
  return diffValues('', before, after).sort((left, right) => left.field < right.field ? -1 : 1)
}

/** @returns a change as one line of text */
export function formatChange (change: FieldChange): string {
  return FORMATS[change.change](change)
}

function diffValues (field: string, before: unknown, after: unknown): FieldChange[] {
  if (isObject(before) && isObject(after)) return diffObjects(field, before, after)
  if (JSON.stringify(before) === JSON.stringify(after)) return []
  if (before === undefined) return [{ field, change: 'added', after }]
  if (after === undefined) return [{ field, change: 'removed', before }]
  return [{ field, change: 'changed', before, after }]
}

function diffObjects (field: string, before: Record<string, unknown>, after: Record<string, unknown>): FieldChange[] {
  const keys = new Set([...Object.keys(before), ...Object.keys(after)])
  return [...keys].flatMap(key => diffValues(field === '' ? key : `${field}.${key}`, before[key], after[key]))
}

function isObject (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
