/** `anvilarch job results ID` */
import { option, optional, positional, string } from 'cmd-ts'
import { CliError } from '../cliError'
import { defineCommand } from '../defineCommand'
import type { BatchResponse } from '../gateway/types'
import { type DownloadedFile, downloadToFile, downloadToOutput, writeEmptyFile } from '../jobs/downloadFile'
import { hasEnded, jobCounts } from '../jobs/jobState'
import { formatCount } from '../output/table'
import type { CliSession } from '../session'

/** Downloads the results of a job that has ended. */
export const jobResults = defineCommand({
  name: 'results',
  description: 'Read the results of a job that has ended: JSON Lines, one for each item',
  args: {
    id: positional({ type: string, displayName: 'ID', description: 'the job' }),
    output: option({ long: 'output', type: optional(string), description: 'file for the results [standard output]' }),
    errors: option({ long: 'errors', type: optional(string), description: 'file for the items that failed' })
  },
  examples: [
    { description: 'Write both files', line: 'anvilarch job results batch_0193 --output output.jsonl --errors errors.jsonl' },
    { description: 'Count the results', line: 'anvilarch job results batch_0193 | wc -l' }
  ],
  run: async ({ id, output, errors }, session) => {
    const batch = await session.gateway.batch(id)
    expectEnded(batch)
    const outputFile = await readOutput(session, batch.output_file_id, output)
    const errorsFile = errors === undefined ? undefined : await readInto(session, batch.error_file_id, errors)
    const { failed } = jobCounts(batch)
    if (errors === undefined && failed > 0) session.note(`${formatCount(failed, 'item')} failed; read why with --errors FILE.`)
    if (output === undefined) return { json: undefined, text: '' }
    const files = { output: { path: output, ...outputFile }, ...(errorsFile === undefined ? {} : { errors: { path: errors, ...errorsFile } }) }
    const lines = Object.values(files).map(file => `${file.path}: ${formatCount(file.lines, 'line')}, ${formatCount(file.bytes, 'byte')}`)
    return { json: { job: batch.id, status: batch.status, ...files }, text: lines.join('\n') }
  }
})

function expectEnded (batch: BatchResponse): void {
  if (hasEnded(batch)) return
  const { done, total } = jobCounts(batch)
  throw new CliError(`Job "${batch.id}" is ${batch.status} with ${done} of ${total} items done; it has no results to read yet.`, {
    code: 'not_ready', step: 'jobs.results', exit: 'failed', ran: 'not_run', hint: `Run "anvilarch job show ${batch.id} --wait" first.`, data: { job: batch }
  })
}

async function readOutput (session: CliSession, fileId: string | null | undefined, path: string | undefined): Promise<DownloadedFile> {
  if (path !== undefined) return await readInto(session, fileId, path)
  if (typeof fileId !== 'string') return { lines: 0, bytes: 0 }
  return await downloadToOutput(session, fileId)
}

/** A job without results or without errors has no file id for them; an empty file is written in that case. */
async function readInto (session: CliSession, fileId: string | null | undefined, path: string): Promise<DownloadedFile> {
  return typeof fileId === 'string' ? await downloadToFile(session, fileId, path) : await writeEmptyFile(path)
}
