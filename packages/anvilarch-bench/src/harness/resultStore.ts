/** Stores the latest result of each experiment as JSON, with its plots as SVG files. */
import { mkdir, readdir, readFile, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { renderPlot } from '../plots/renderPlot'
import type { Plot } from '../plots/types'
import type { ExperimentResult } from './types'

/** Default folder of results, relative to the root of the repository. */
export const DEFAULT_RESULT_DIRECTORY = 'docs/measurements'

/**
 * @param directory - folder to write to
 * @param result - result to store
 * @param plots - plots of the result
 * @returns the names of the files
 */
export async function writeResult (directory: string, result: ExperimentResult, plots: readonly Plot[]): Promise<string[]> {
  await mkdir(directory, { recursive: true })
  const names = [`${result.experiment}.json`]
  await writeFile(join(directory, names[0]), JSON.stringify(result, null, 1) + '\n')
  for (const plot of plots) {
    const name = `${result.experiment}-${plot.name}.svg`
    await writeFile(join(directory, name), renderPlot(plot) + '\n')
    names.push(name)
  }
  return names
}

/**
 * @param directory - folder of results
 * @returns the results by experiment; other files are ignored
 */
export async function readResults (directory: string): Promise<Map<string, ExperimentResult>> {
  const results = new Map<string, ExperimentResult>()
  const names = (await readdir(directory).catch(() => [])).filter(name => name.endsWith('.json')).sort()
  for (const name of names) {
    const result = JSON.parse(await readFile(join(directory, name), 'utf8')) as ExperimentResult
    if (result.formatVersion === 1 && Array.isArray(result.variants)) results.set(result.experiment, result)
  }
  return results
}
