/** Validates documents and settings: parses the text, checks it against the schema, then checks the fields against each other. */
import { Err, Ok, type Result } from 'ts-results'
import type { z } from 'zod'
import { checkDocument } from './documentChecks'
import { documentSchema } from './documentSchema'
import type { FieldProblem } from './problems'
import { schemaProblems } from './schemaProblems'
import { checkSettings } from './settingsChecks'
import { settingsSchema } from './settingsSchema'
import { duplicateKeys, locateProblem, parseSource, type SourceText, sourceValue } from './sourceText'
import type { ConfigurationDocument, ConfigurationIssue, DaemonSettings } from './types'

/**
 * @param text - the document as JSON with comments
 * @param fileName - file name for the issues
 * @returns the document with all defaults filled in, or all its issues in the order of the text
 */
export function validateDocument (text: string, fileName: string): Result<ConfigurationDocument, ConfigurationIssue[]> {
  return validateText(text, fileName, documentSchema, checkDocument)
}

/**
 * @param text - the settings of one daemon as JSON with comments
 * @param fileName - file name for the issues
 * @returns the settings with all defaults filled in, or all their issues in the order of the text
 */
export function validateSettings (text: string, fileName: string): Result<DaemonSettings, ConfigurationIssue[]> {
  return validateText(text, fileName, settingsSchema, checkSettings)
}

function validateText<Value> (
  text: string,
  fileName: string,
  schema: z.ZodType<Value>,
  check: (value: Value) => FieldProblem[]
): Result<Value, ConfigurationIssue[]> {
  const { source, issues } = parseSource(text, fileName)
  if (source === undefined) return Err(issues)
  const duplicates = duplicateKeys(source)
  const input = sourceValue(source)
  const parsed = schema.safeParse(input)
  if (!parsed.success) return Err(sorted([...duplicates, ...located(source, schemaProblems(parsed.error.issues, input))]))
  const found = [...duplicates, ...located(source, check(parsed.data))]
  return found.length === 0 ? Ok(parsed.data) : Err(sorted(found))
}

function located (source: SourceText, problems: FieldProblem[]): ConfigurationIssue[] {
  return problems.map(problem => locateProblem(source, problem))
}

function sorted (issues: ConfigurationIssue[]): ConfigurationIssue[] {
  return issues.sort((left, right) => left.line - right.line || left.column - right.column)
}
