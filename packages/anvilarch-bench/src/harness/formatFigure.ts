/** Formats figures for display. */

/**
 * @param value - a figure
 * @returns the value with three significant digits, or as an integer from 1000 up
 */
export function formatFigure (value: number): string {
  if (!Number.isFinite(value)) return '–'
  if (Number.isInteger(value) || Math.abs(value) >= 1000) return String(Math.round(value))
  return String(Number(value.toPrecision(3)))
}
