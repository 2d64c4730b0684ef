/** Renders the latest results as one HTML page without external resources. */
import { aimText, figureText } from '../harness/summaryTable'
import type { ExperimentResult, VariantResult } from '../harness/types'

/** A result with its plots as SVG markup. */
export interface ReportSection {
  result: ExperimentResult
  plots: string[]
}

const STYLE = `
body { font: 15px/1.5 sans-serif; max-width: 60em; margin: 2em auto; padding: 0 1em; color: #222 }
table { border-collapse: collapse; margin: 1em 0; font-size: 13px }
th, td { border: 1px solid #ccc; padding: 2px 8px; text-align: left }
svg { max-width: 100%; border: 1px solid #eee; margin: .5em 0 }
.missed { color: #a00; font-weight: bold } .met { color: #060 } .note { color: #555; font-size: 13px }
pre { background: #f6f6f6; padding: .4em .8em; overflow-x: auto }
`

/**
 * @param sections - results in the order of the page
 * @returns the page
 */
export function renderReport (sections: readonly ReportSection[]): string {
  const links = sections.map(({ result }) => `<li><a href="#${result.experiment}">${result.experiment}</a>: ${escapeHtml(result.question)}</li>`)
  return [
    '<!doctype html>',
    '<html lang="en"><head><meta charset="utf-8"><title>anvilarch: measurements</title>',
    `<style>${STYLE}</style></head><body>`,
    '<h1>Measurements</h1>',
    '<p>Each figure is the median over the rounds with its range; × is the median of the ratios to the baseline of the same round. ' +
      'Absolute figures hold for the machine and the load stated; conclusions rest on the ratios.</p>',
    `<ul>${links.join('')}</ul>`,
    ...sections.map(renderSection),
    '</body></html>',
    ''
  ].join('\n')
}

function renderSection ({ result, plots }: ReportSection): string {
  const { environment } = result
  const gib = (environment.memoryBytes / 2 ** 30).toFixed(0)
  return [
    `<h2 id="${result.experiment}">${result.experiment}</h2>`,
    `<p>${escapeHtml(result.question)}</p>`,
    `<pre>${escapeHtml(result.command)}</pre>`,
    `<p class="note">${environment.startedAt} to ${environment.endedAt}, commit ${environment.commit}, Node.js ${environment.nodeVersion}, ${environment.cores} cores, ${gib} GiB, ` +
      `load average ${environment.loadAverageBefore.toFixed(1)} before and ${environment.loadAverageAfter.toFixed(1)} after.</p>`,
    renderFigures(result),
    renderAims(result),
    ...plots,
    renderNotes(result)
  ].join('\n')
}

function renderFigures (result: ExperimentResult): string {
  const names = result.summary.filter(name => result.variants.some(variant => name in variant.figures))
  const header = ['variant', ...names].map(name => `<th>${escapeHtml(name)}</th>`).join('')
  const row = (variant: VariantResult): string => {
    const label = variant.name + (variant.isBaseline ? ' (baseline)' : '')
    return `<tr><th>${escapeHtml(label)}</th>${names.map(name => `<td>${escapeHtml(figureText(variant.figures[name]))}</td>`).join('')}</tr>`
  }
  return `<table><tr>${header}</tr>${result.variants.map(row).join('')}</table>`
}

function renderAims (result: ExperimentResult): string {
  if (result.aims.length === 0) return ''
  return `<ul>${result.aims.map(aim => `<li class="${aim.verdict}">${escapeHtml(aimText(aim))}</li>`).join('')}</ul>`
}

function renderNotes (result: ExperimentResult): string {
  const notes = result.variants.flatMap(variant => variant.runs.flatMap(run => {
    const lines = [...(run.error === undefined ? [] : [`run failed: ${run.error}`]), ...(run.notes ?? [])]
    return lines.map(line => `<li>${escapeHtml(`${variant.name}, round ${run.round + 1}: ${line}`)}</li>`)
  }))
  return notes.length === 0 ? '' : `<details class="note"><summary>Notes of the runs (${notes.length})</summary><ul>${notes.join('')}</ul></details>`
}

function escapeHtml (value: string): string {
  return value.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;')
}
