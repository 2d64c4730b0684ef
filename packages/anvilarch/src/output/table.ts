/** Formats tables without lines, which suits screen readers, `cut` and `grep`. */
import Table from 'cli-table3'

const NO_LINES = {
  top: '',
  'top-mid': '',
  'top-left': '',
  'top-right': '',
  bottom: '',
  'bottom-mid': '',
  'bottom-left': '',
  'bottom-right': '',
  left: '',
  'left-mid': '',
  mid: '',
  'mid-mid': '',
  right: '',
  'right-mid': '',
  middle: '  '
}

/** Value of a cell; undefined is shown as a dash. */
export type Cell = string | number | boolean | undefined

/**
 * @param head - column headings
 * @param rows - cells of each row
 * @returns the table as text
 */
export function formatTable (head: string[], rows: Cell[][]): string {
  const table = new Table({ head, chars: NO_LINES, style: { head: [], border: [], 'padding-left': 0, 'padding-right': 0 } })
  for (const row of rows) table.push(row.map(formatCell))
  return table.toString().split('\n').map(line => line.trimEnd()).join('\n')
}

/**
 * @param count - how many
 * @param noun - singular
 * @param plural - needed if it is not the noun with an `s`
 * @returns for example `1 item` or `2 items`
 */
export function formatCount (count: number, noun: string, plural = `${noun}s`): string {
  return `${count} ${count === 1 ? noun : plural}`
}

/**
 * @param epochMs - wall-clock time
 * @returns ISO 8601 in UTC, to the second
 */
export function formatTime (epochMs: number): string {
  return new Date(epochMs).toISOString().replace(/\.\d+Z$/, 'Z')
}

function formatCell (cell: Cell): string {
  return cell === undefined || cell === '' ? '-' : String(cell)
}
