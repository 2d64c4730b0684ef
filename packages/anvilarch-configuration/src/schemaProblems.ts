/** Converts issues of the schema library to field problems. */
import type { z } from 'zod'
import { KEY_SEPARATOR, NAME_EXPECTED } from './fieldSchemas'
import { describeValue, type FieldPath, type FieldProblem } from './problems'
import { suggestNames } from './suggestions'

type SchemaIssue = z.core.$ZodIssue

/** Converters for issue codes whose message is not sufficient. */
const HANDLERS: Partial<Record<string, (issue: SchemaIssue, value: unknown) => FieldProblem[]>> = {
  unrecognized_keys: unknownKeys,
  invalid_value: unknownValue,
  invalid_union: unknownKind,
  invalid_key: invalidKey
}

/**
 * @param issues - issues of the schema library
 * @param value - the checked value
 * @returns the problems
 */
export function schemaProblems (issues: SchemaIssue[], value: unknown): FieldProblem[] {
  return issues.flatMap(issue => {
    const handler = HANDLERS[issue.code] ?? plainProblem
    return handler(issue, valueAt(value, issue.path as FieldPath))
  })
}

function plainProblem (issue: SchemaIssue, value: unknown): FieldProblem[] {
  return [{ path: issue.path as FieldPath, found: describeValue(value), expected: issue.message }]
}

function unknownKeys (issue: SchemaIssue): FieldProblem[] {
  const { keys } = issue as z.core.$ZodIssueUnrecognizedKeys
  const known = issue.message.split(KEY_SEPARATOR)
  return keys.map(key => ({
    path: [...issue.path as FieldPath, key],
    at: 'key',
    found: `the unknown key ${JSON.stringify(key)}`,
    expected: `one of the keys ${known.join(', ')}`,
    didYouMean: suggestNames(key, known)
  }))
}

function unknownValue (issue: SchemaIssue, value: unknown): FieldProblem[] {
  const { values } = issue as z.core.$ZodIssueInvalidValue
  const didYouMean = typeof value === 'string' ? suggestNames(value, values.map(String)) : []
  return [{ path: issue.path as FieldPath, found: describeValue(value), expected: issue.message, didYouMean }]
}

function unknownKind (issue: SchemaIssue, value: unknown): FieldProblem[] {
  const didYouMean = typeof value === 'string' ? suggestNames(value, ['model', 'plain']) : []
  return [{ path: issue.path as FieldPath, found: describeValue(value), expected: issue.message, didYouMean }]
}

function invalidKey (issue: SchemaIssue): FieldProblem[] {
  const path = issue.path as FieldPath
  return [{ path, at: 'key', found: `the key ${JSON.stringify(path.at(-1))}`, expected: NAME_EXPECTED }]
}

function valueAt (value: unknown, path: FieldPath): unknown {
  return path.reduce<unknown>((current, part) => (current as Record<string | number, unknown> | undefined)?.[part], value)
}
