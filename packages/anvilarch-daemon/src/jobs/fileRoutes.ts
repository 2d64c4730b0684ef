/** Routes for files: upload, list, show, content, delete. */
import { randomUUID } from 'node:crypto'
import { ROW_KEYS } from 'anvilarch-protocol'
import { AnvilarchError } from 'anvilarch-utils'
import { sendJson } from '../callers/http/sendJson'
import type { CallerContext, Route } from '../callers/types'
import type { DaemonContext } from '../context'
import { toFileObject, toListObject, toResultFileObject } from './apiObjects'
import { type RandomSource, parseResultFileId } from './ids'
import { parsePage, readIndexPage } from './paging'
import { type JobReader, partRows } from './readJob'
import { sendFileContent, sendResults } from './resultContent'
import { type FileRow, JOB_KEYS, type JobRow, parseRow, type PartRow, type ResultKind } from './rows'
import { commitWithRetry } from '../platform/commitWithRetry'
import { deletedFileWrites } from './sweep/sweepSteps'
import { uploadFile } from './uploadFile'

const STEP = 'jobs.file'

/** An uploaded file and the version of its row. */
interface VersionedFile {
  file: FileRow
  version: number
}

/** A result file, identified by job and kind. */
interface ResultFile {
  job: JobRow
  version: number
  kind: ResultKind
}

/**
 * @param context - shared parts of the daemon
 * @param reader - reader of jobs
 * @param randomValue - source of random numbers for ids
 * @returns the routes
 */
export function fileRoutes (context: DaemonContext, reader: JobReader, randomValue: RandomSource): Route[] {
  const { table } = context.platform

  const readFile = async (caller: string, fileId: string): Promise<VersionedFile> => {
    const [row] = await table.read([ROW_KEYS.file(fileId)])
    const file = row === null ? undefined : parseRow<FileRow>(row.value)
    if (row === null || file?.caller !== caller) throw notFound(fileId)
    return { file, version: row.version }
  }

  /** Result files exist once the job has ended, since they no longer change; results of a cancelled or expired job are partial. */
  const readResultFile = async (caller: string, fileId: string): Promise<ResultFile | undefined> => {
    const named = parseResultFileId(fileId)
    if (named === undefined) return undefined
    const { job, version } = await reader.read(caller, named.jobId).catch((error: unknown) => {
      throw error instanceof AnvilarchError && error.code === 'not_found' ? notFound(fileId) : error
    })
    if ((job.removed ?? []).includes(named.kind)) throw notFound(fileId)
    if (job.state === 'in_progress') {
      throw new AnvilarchError(`File "${fileId}" is there when batch "${job.id}" has ended.`, { code: 'conflict', step: STEP, ran: 'not_run' })
    }
    return { job, version, kind: named.kind }
  }

  const resultSize = async (job: JobRow, kind: ResultKind): Promise<number> => {
    let sizeBytes = 0
    for await (const row of partRows(context, job.id)) {
      for (const segment of parseRow<PartRow>(row.value).segments) {
        if (segment.kind === kind) sizeBytes += segment.sizeBytes
      }
    }
    return sizeBytes
  }

  const upload = async ({ request, response, caller, drain }: CallerContext): Promise<void> => {
    sendJson(response, 200, toFileObject(await uploadFile(context, { caller, request, drain }, randomValue)))
  }

  const list = async ({ response, caller, query }: CallerContext): Promise<void> => {
    const page = await readIndexPage(table, JOB_KEYS.callerFiles(caller), parsePage(query), ROW_KEYS.file)
    sendJson(response, 200, toListObject(page.rows.map(row => toFileObject(parseRow<FileRow>(row.value))), page.hasMore))
  }

  const show = async ({ response, caller, params }: CallerContext): Promise<void> => {
    const results = await readResultFile(caller, params.id)
    if (results === undefined) sendJson(response, 200, toFileObject((await readFile(caller, params.id)).file))
    else sendJson(response, 200, toResultFileObject(results.job, results.kind, await resultSize(results.job, results.kind)))
  }

  const content = async ({ response, caller, params, signal }: CallerContext): Promise<void> => {
    const results = await readResultFile(caller, params.id)
    if (results !== undefined) await sendResults(context, results.job, results.kind, response, signal)
    else await sendFileContent(context, (await readFile(caller, params.id)).file, response, signal)
  }

  const remove = async ({ response, caller, params }: CallerContext): Promise<void> => {
    const results = await readResultFile(caller, params.id)
    if (results === undefined) await removeFile(context, await readFile(caller, params.id))
    else await removeResults(context, results)
    sendJson(response, 200, { id: params.id, object: 'file', deleted: true })
  }

  return [
    { method: 'POST', path: '/v1/files', handle: upload },
    { method: 'GET', path: '/v1/files', handle: list },
    { method: 'GET', path: '/v1/files/:id', handle: show },
    { method: 'GET', path: '/v1/files/:id/content', handle: content },
    { method: 'DELETE', path: '/v1/files/:id', handle: remove }
  ]
}

/**
 * Deletes the file row and, in the same commit, writes an upload row, so that the sweeper removes the chunks. A job that is
 * accepted on the file at the same time changes the file row, and one of the two commits fails with a conflict.
 */
async function removeFile (context: DaemonContext, { file, version }: VersionedFile): Promise<void> {
  const { clock, platform, random } = context
  const jobs = await platform.table.read(file.jobIds.map(ROW_KEYS.job))
  const active = jobs.find(row => row !== null && parseRow<JobRow>(row.value).state === 'in_progress')
  if (active !== undefined && active !== null) {
    throw conflict(`File "${file.id}" is in use by batch "${parseRow<JobRow>(active.value).id}". Cancel the batch first, or wait until it ends.`)
  }
  const key = ROW_KEYS.file(file.id)
  const result = await commitWithRetry({ table: platform.table, clock, random }, {
    commitId: randomUUID(),
    conditions: [{ key, version }],
    writes: deletedFileWrites(file)
  }, STEP)
  if (result.outcome === 'conflict' && result.rows.some(row => row.key === key && row.version > 0)) {
    throw conflict(`File "${file.id}" was put to use at the same moment. It was not deleted.`)
  }
}

async function removeResults (context: DaemonContext, { job, version, kind }: ResultFile): Promise<void> {
  const { clock, platform, random } = context
  const key = ROW_KEYS.job(job.id)
  const row: JobRow = { ...job, removed: [...(job.removed ?? []), kind] }
  const commit = { commitId: randomUUID(), conditions: [{ key, version }], writes: [{ key, value: JSON.stringify(row) }] }
  const result = await commitWithRetry({ table: platform.table, clock, random }, commit, STEP)
  if (result.outcome === 'conflict') throw conflict(`Batch "${job.id}" changed at the same moment. Delete the file again.`)
}

function notFound (fileId: string): AnvilarchError {
  return new AnvilarchError(`There is no file "${fileId}".`, { code: 'not_found', step: STEP, ran: 'not_run' })
}

function conflict (message: string): AnvilarchError {
  return new AnvilarchError(message, { code: 'conflict', step: STEP, ran: 'not_run' })
}
