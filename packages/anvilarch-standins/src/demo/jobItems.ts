/** Creates the items of the demo's jobs and checks their results. */
import { readFileSync, writeFileSync } from 'node:fs'
import { expectedText } from '../engine/completionPlan'
import { expectThat } from './types'

const CHAT_PATH = '/v1/chat/completions'

/** Options of the items. */
export interface JobItemOptions {
  count: number
  /** Unique per job: a job with the items of another one would be recognized as the same job. */
  label: string
  minTokens: number
  maxTokens: number
}

interface Item {
  custom_id: string
  method: string
  url: string
  body: { model: string, messages: object[], max_tokens: number }
}

function itemAt (options: JobItemOptions, index: number): Item {
  const spread = options.maxTokens - options.minTokens + 1
  return {
    custom_id: `${options.label}-${index}`,
    method: 'POST',
    url: CHAT_PATH,
    body: {
      model: 'assistant',
      messages: [{ role: 'user', content: `Review renewal ${index} of lot ${options.label}.` }],
      max_tokens: options.minTokens + index % spread
    }
  }
}

/**
 * @param file - file to write
 * @param options - number, label and lengths of the items
 */
export function writeItems (file: string, options: JobItemOptions): void {
  const lines = Array.from({ length: options.count }, (_, index) => JSON.stringify(itemAt(options, index)))
  writeFileSync(file, lines.join('\n') + '\n')
}

/**
 * @param file - the results of the job
 * @param options - the items
 * @throws DemoFailure when an item has no result, more than one, or the result of another item
 */
export function checkResults (file: string, options: JobItemOptions): void {
  const results = readFileSync(file, 'utf8').split('\n').filter(line => line !== '').map(line => JSON.parse(line) as { custom_id: string, response: { body: { choices: Array<{ message: { content: string } }> } } })
  const byId = new Map(results.map(result => [result.custom_id, result]))
  expectThat(results.length === options.count && byId.size === options.count, () => `found ${results.length} results for ${byId.size} items; expected ${options.count}`)
  for (let index = 0; index < options.count; index++) {
    const item = itemAt(options, index)
    const found = byId.get(item.custom_id)?.response.body.choices[0].message.content
    const expected = expectedText(CHAT_PATH, item.body)
    expectThat(found === expected, () => `the result of "${item.custom_id}" is "${String(found)}"; expected "${expected}"`)
  }
}
