/** Writes the HTML page with the latest results of a folder. */
import { readdir, readFile, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { readResults } from '../harness/resultStore'
import { type ReportSection, renderReport } from './html'

/** File name of the page in the folder of results. */
export const REPORT_FILE = 'report.html'

/**
 * @param directory - folder of results
 * @param order - names of experiments in the order of the page; other experiments follow
 * @returns the path of the page and the experiments on it
 */
export async function writeReport (directory: string, order: readonly string[]): Promise<{ path: string, experiments: string[] }> {
  const results = await readResults(directory)
  const names = [...order.filter(name => results.has(name)), ...[...results.keys()].filter(name => !order.includes(name))]
  const files = (await readdir(directory)).filter(name => name.endsWith('.svg')).sort()
  const sections: ReportSection[] = []
  for (const name of names) {
    const result = results.get(name)
    if (result === undefined) continue
    const plots = await Promise.all(files.filter(file => file.startsWith(`${name}-`)).map(file => readFile(join(directory, file), 'utf8')))
    sections.push({ result, plots })
  }
  const path = join(directory, REPORT_FILE)
  await writeFile(path, renderReport(sections))
  return { path, experiments: names }
}
