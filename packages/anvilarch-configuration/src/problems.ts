/** Problems with single fields, without their position in the source text. */

/** Keys and list indexes from the root to a field. */
export type FieldPath = Array<string | number>

/** A problem with one field. */
export interface FieldProblem {
  path: FieldPath
  /** Whether the issue refers to the key or the value; default: value. */
  at?: 'key' | 'value'
  found: string
  expected: string
  didYouMean?: string[]
}

const MAX_FOUND_LENGTH = 60

/**
 * @param value - value of a field
 * @returns a short description for an issue
 */
export function describeValue (value: unknown): string {
  if (value === undefined) return 'nothing'
  if (Array.isArray(value)) return value.length === 0 ? 'an empty list' : 'a list'
  if (typeof value === 'object' && value !== null) return 'an object'
  const text = JSON.stringify(value)
  return text.length > MAX_FOUND_LENGTH ? `${text.slice(0, MAX_FOUND_LENGTH)}…` : text
}

/**
 * @param names - allowed names
 * @param what - field that defines the names
 * @returns a description of the expected value
 */
export function oneOfNames (names: string[], what: string): string {
  if (names.length === 0) return `a name from ${what}, which has no entries`
  const shown = names.slice(0, MAX_NAMES_SHOWN).map(name => JSON.stringify(name)).join(', ')
  const rest = names.length > MAX_NAMES_SHOWN ? ` or one of ${names.length - MAX_NAMES_SHOWN} more` : ''
  return `a name from ${what}: ${shown}${rest}`
}

const MAX_NAMES_SHOWN = 12
