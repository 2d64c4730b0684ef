/** Reads the values of rows. Any program with access to the table can write them, so nothing about a value is certain. */
import type { Row } from 'anvilarch-protocol'
import type { Logger } from 'anvilarch-utils'

/** Check of one field. A missing field is `undefined`. */
export type FieldCheck = (value: unknown) => boolean

/** Check of each field that the reader relies on. Other fields are kept unchecked. */
export type RowChecks<Value> = { readonly [Field in keyof Value]?: FieldCheck }

export const isString: FieldCheck = value => typeof value === 'string'
export const isCount: FieldCheck = value => Number.isSafeInteger(value) && (value as number) >= 0

/**
 * @param row - a row of the table
 * @param checks - checks of its fields
 * @returns the value; undefined if it is not JSON, not an object, or has an unusable field
 */
export function readRowValue<Value extends object> (row: Row, checks: RowChecks<Value>): Value | undefined {
  let value: unknown
  try {
    value = JSON.parse(row.value)
  } catch {
    // The caller reports the row.
    return undefined
  }
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return undefined
  const fields = value as Record<string, unknown>
  return Object.entries<FieldCheck | undefined>(checks).every(([field, check]) => check?.(fields[field]) !== false) ? value as Value : undefined
}

/** Keys of which a line has been written. */
const MAX_KEYS = 1000

/** @returns a function that logs an unusable row once for each key */
export function createUnusableRowLog (logger: Pick<Logger, 'warn'>): (row: Row) => void {
  const keys = new Set<string>()
  return ({ key }) => {
    if (keys.has(key) || keys.size >= MAX_KEYS) return
    keys.add(key)
    logger.warn('a row of the table cannot be used', { key })
  }
}
