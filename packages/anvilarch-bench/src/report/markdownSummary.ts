/** Renders the latest results as Markdown for docs/MEASUREMENTS.md. */
import { aimText, figureText } from '../harness/summaryTable'
import type { ExperimentResult } from '../harness/types'

/**
 * @param results - latest results in the order of the page
 * @returns a section for each result: command, host, table, aims and failed runs
 */
export function markdownSummary (results: readonly ExperimentResult[]): string {
  return results.map(renderResult).join('\n\n') + '\n'
}

function renderResult (result: ExperimentResult): string {
  const { environment } = result
  const names = result.summary.filter(name => result.variants.some(variant => name in variant.figures))
  const head = ['figure', ...result.variants.map(variant => variant.name + (variant.isBaseline ? ' (baseline)' : ''))]
  const rows = names.map(name => row([`\`${name}\``, ...result.variants.map(variant => figureText(variant.figures[name]))]))
  const failed = result.variants.flatMap(variant => variant.runs.filter(run => run.error !== undefined).map(run => `- ${variant.name}, round ${run.round + 1}: run failed, ${run.error}`))
  return [
    `### ${result.experiment}`,
    `${result.question} \`${result.command}\`, commit ${environment.commit}, ${environment.startedAt}, load average ${environment.loadAverageBefore.toFixed(1)} to ${environment.loadAverageAfter.toFixed(1)} on ${environment.cores} cores.`,
    [row(head), `|${head.map(() => '---').join('|')}|`, ...rows].join('\n'),
    result.aims.map(aim => `- ${aimText(aim).replace(/\s+/g, ' ')}`).join('\n'),
    failed.join('\n')
  ].filter(part => part !== '').join('\n\n')
}

function row (cells: readonly string[]): string {
  return `| ${cells.join(' | ')} |`
}
