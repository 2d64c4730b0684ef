/** Renders the capacity tables of docs/CAPACITY.md as Markdown. */
import { formatFigure } from '../harness/formatFigure'
import { failureScenarioTables } from './failureScenarios'
import { type CapacityRow, type CapacityTable, roleTables } from './roleTables'
import type { Results } from './capacityValues'

const HEAD = ['what', 'size', 'figure', 'budget', 'slope from', 'mechanism']

/**
 * @param results - latest results
 * @returns Markdown with a table for each role, the platform and each failure scenario
 */
export function capacityText (results: Results): string {
  const runs = [...results.values()].map(result => `- ${result.experiment}: \`${result.command}\`, ${result.environment.startedAt}, commit ${result.environment.commit}, load average ${formatFigure(result.environment.loadAverageBefore)}`)
  return [
    ...roleTables(results).map(renderTable),
    '## Days that go wrong',
    ...failureScenarioTables(results).map(table => renderTable(table).replace('## ', '### ')),
    '## Runs that gave the slopes',
    runs.join('\n') || 'none yet'
  ].join('\n\n') + '\n'
}

function renderTable (table: CapacityTable): string {
  const rows = table.rows.map(row => `| ${cells(row).join(' | ')} |`)
  return [`## ${table.title}`, '', `| ${HEAD.join(' | ')} |`, `|${HEAD.map(() => '---').join('|')}|`, ...rows].join('\n')
}

function cells (row: CapacityRow): string[] {
  const { value, source } = row.value
  const figure = value === undefined ? 'not measured' : `${formatFigure(value)} ${row.unit}`
  return [row.quantity, row.size, figure, budgetText(row), source, row.mechanism]
}

function budgetText (row: CapacityRow): string {
  if (row.budget === undefined) return ''
  const limit = formatFigure(row.budget)
  if (row.value.value === undefined) return limit
  return row.value.value <= row.budget ? `${limit}: kept` : `**${limit}: broken**`
}
