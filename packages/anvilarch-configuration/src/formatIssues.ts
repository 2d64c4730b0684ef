/** Formats issues as text. */
import type { ConfigurationIssue } from './types'

/**
 * @param issues - problems of a document or of settings
 * @returns one paragraph for each issue
 */
export function formatIssues (issues: ConfigurationIssue[]): string {
  return issues.map(formatIssue).join('\n')
}

function formatIssue (issue: ConfigurationIssue): string {
  const field = issue.field === '' ? '' : `${issue.field}: `
  const lines = [
    `${issue.file}:${issue.line}:${issue.column}: ${field}found ${issue.found}`,
    `    expected ${issue.expected}`
  ]
  if (issue.didYouMean.length > 0) {
    lines.push(`    did you mean ${issue.didYouMean.map(name => JSON.stringify(name)).join(' or ')}?`)
  }
  return lines.join('\n')
}
