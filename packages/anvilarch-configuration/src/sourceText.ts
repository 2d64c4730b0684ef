/** Parses JSON with comments and locates fields in the text. */
import { findNodeAtLocation, getNodeValue, type Node, type ParseError, parseTree, printParseErrorCode } from 'jsonc-parser'
import type { FieldPath, FieldProblem } from './problems'
import type { ConfigurationIssue } from './types'

/** A parsed text. */
export interface SourceText {
  fileName: string
  text: string
  root: Node
}

const PARSE_OPTIONS = { allowTrailingComma: true, disallowComments: false }
const EXCERPT_LENGTH = 30
/** Some editors insert a byte order mark at the start. The parser would report the whole document as an invalid symbol. */
const BYTE_ORDER_MARK = /^\uFEFF/

/** Descriptions of the expected syntax, by parse error code. */
const EXPECTED_SYNTAX: Record<string, string> = {
  InvalidSymbol: 'a string in double quotes, a number, true, false, null, an object or a list',
  InvalidNumberFormat: 'a number',
  PropertyNameExpected: 'a key in double quotes',
  ValueExpected: 'a value',
  ColonExpected: '":" after the key',
  CommaExpected: '"," before the next entry',
  CloseBraceExpected: '"}" at the end of the object',
  CloseBracketExpected: '"]" at the end of the list',
  EndOfFileExpected: 'nothing after the end of the document',
  UnexpectedEndOfComment: '"*/" at the end of the comment',
  UnexpectedEndOfString: 'a double quote at the end of the string',
  InvalidCharacter: 'no control characters in a string',
  InvalidEscapeCharacter: 'one of the escapes of JSON',
  InvalidUnicode: 'four hex digits after \\u'
}

/**
 * @param rawText - JSON with comments and trailing commas
 * @param fileName - file name for the issues
 * @returns the parsed text, or the syntax errors
 */
export function parseSource (rawText: string, fileName: string): { source?: SourceText, issues: ConfigurationIssue[] } {
  const text = rawText.replace(BYTE_ORDER_MARK, '')
  const errors: ParseError[] = []
  const root = parseTree(text, errors, PARSE_OPTIONS)
  const issues = errors.map(error => parseIssue(text, fileName, error))
  if (issues.length > 0) return { issues }
  if (root === undefined) return { issues: [emptyIssue(fileName)] }
  return { source: { fileName, text, root }, issues: [] }
}

/**
 * @param source - a parsed text
 * @returns its value, as `JSON.parse` would return it
 */
export function sourceValue (source: SourceText): unknown {
  return getNodeValue(source.root)
}

/**
 * Finds duplicate keys. JSON parsers keep only the last one, so that one of two services of the same name would be lost silently.
 *
 * @param source - a parsed text
 * @returns an issue for each duplicate key
 */
export function duplicateKeys (source: SourceText): ConfigurationIssue[] {
  const issues: ConfigurationIssue[] = []
  const visit = (node: Node, path: FieldPath): void => {
    const seen = new Set<string>()
    node.children?.forEach((child, index) => {
      if (node.type !== 'object') return visit(child, [...path, index])
      const [keyNode, valueNode] = child.children ?? []
      const key = String(keyNode.value)
      const childPath = [...path, key]
      if (seen.has(key)) issues.push(issueAt(source, keyNode.offset, { path: childPath, found: `the key ${JSON.stringify(key)} a second time`, expected: 'each key once in an object' }))
      seen.add(key)
      if (valueNode !== undefined) visit(valueNode, childPath)
    })
  }
  visit(source.root, [])
  return issues
}

/**
 * @param source - a parsed text
 * @param problem - a problem with one of its fields
 * @returns the issue, with file, line and column
 */
export function locateProblem (source: SourceText, problem: FieldProblem): ConfigurationIssue {
  return issueAt(source, offsetOf(source.root, problem), problem)
}

/**
 * @param path - keys and list indexes
 * @returns the path as text, for example `services.lookup.routes[0].path`
 */
export function fieldName (path: FieldPath): string {
  return path.reduce<string>((text, part) => {
    if (typeof part === 'number') return `${text}[${part}]`
    return text === '' ? part : `${text}.${part}`
  }, '')
}

function issueAt (source: SourceText, offset: number, problem: FieldProblem): ConfigurationIssue {
  return {
    file: source.fileName,
    ...positionOf(source.text, offset),
    field: fieldName(problem.path),
    found: problem.found,
    expected: problem.expected,
    didYouMean: problem.didYouMean ?? []
  }
}

function offsetOf (root: Node, problem: FieldProblem): number {
  const node = findNodeAtLocation(root, problem.path)
  if (node === undefined) return problem.path.length === 0 ? root.offset : offsetOf(root, { ...problem, path: problem.path.slice(0, -1), at: 'value' })
  const keyNode = node.parent?.type === 'property' ? node.parent.children?.[0] : undefined
  return problem.at === 'key' && keyNode !== undefined ? keyNode.offset : node.offset
}

function positionOf (text: string, offset: number): { line: number, column: number } {
  const before = text.slice(0, offset)
  const lineStart = before.lastIndexOf('\n') + 1
  return { line: before.split('\n').length, column: offset - lineStart + 1 }
}

function parseIssue (text: string, fileName: string, error: ParseError): ConfigurationIssue {
  const excerpt = text.slice(error.offset, error.offset + EXCERPT_LENGTH).split('\n')[0].trim()
  return {
    file: fileName,
    ...positionOf(text, error.offset),
    field: '',
    found: excerpt === '' ? 'the end of the line' : excerpt,
    expected: describeExpectedSyntax(error),
    didYouMean: []
  }
}

/**
 * @param error - a parse error
 * @returns a description of the expected syntax
 */
export function describeExpectedSyntax (error: ParseError): string {
  return EXPECTED_SYNTAX[printParseErrorCode(error.error)] ?? 'valid JSON'
}

function emptyIssue (fileName: string): ConfigurationIssue {
  return { file: fileName, line: 1, column: 1, field: '', found: 'an empty text', expected: 'an object', didYouMean: [] }
}
