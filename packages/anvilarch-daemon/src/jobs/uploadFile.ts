/** Takes in a file: its chunks first, its row last, so that a file that can be seen is whole. */
import { randomUUID } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import { type Condition, ROW_KEYS } from 'anvilarch-protocol'
import { AnvilarchError, toAnvilarchError } from 'anvilarch-utils'
import { requireConfiguration } from '../callers/requireConfiguration'
import type { DaemonContext } from '../context'
import { type ChunkWriter, createChunkWriter } from './chunkWriter'
import { type Draw, newFileId } from './ids'
import { readMultipart, type UploadForm } from './readMultipart'
import { type FileRow, JOB_KEYS, type UploadRow } from './rows'
import { commitWithRetry, type CommitRetryContext } from '../platform/commitWithRetry'

const STEP = 'jobs.upload'
const PURPOSE = 'batch'
const DEFAULT_FILE_NAME = 'items.jsonl'
const RETRY_MS = 1_000

/**
 * @param context - shared parts of the daemon
 * @param caller - who uploads
 * @param request - with a multipart form
 * @param draw - random numbers for the file's id
 * @returns row of the file
 * @throws AnvilarchError when the file was not taken; then nothing of it is kept
 */
export async function uploadFile (context: DaemonContext, caller: string, request: IncomingMessage, draw: Draw): Promise<FileRow> {
  const { limits } = requireConfiguration(context).document
  const { clock, platform, random, settings } = context
  const settle: CommitRetryContext = { table: platform.table, clock, random }
  const fileId = newFileId(clock.wallMs(), draw)
  const writer = createChunkWriter({
    objects: platform.objects,
    fileId,
    partItems: settings.gateway.partItems,
    partBytes: settings.gateway.partBytes,
    maxItemBytes: limits.maxItemBytes,
    maxFileBytes: limits.maxFileBytes
  })
  const upload = await noteUpload(settle, fileId, { caller, startedAtMs: clock.wallMs() })
  const abandon = async (): Promise<void> => { await discard(context, settle, writer, fileId) }
  const row = await takeContent(request, writer, { fileId, caller, createdAtMs: clock.wallMs() }).catch(async (error: unknown) => {
    await abandon()
    throw asNotRun(error)
  })
  await commitFile(settle, row, upload).catch(async (error: unknown) => {
    // A commit that may have taken effect shows a file whose chunks must stay.
    if (error instanceof AnvilarchError && error.ran === 'not_run') await abandon()
    throw error
  })
  context.timeline.record('jobs.file_uploaded', { detail: { fileId, sizeBytes: row.sizeBytes, chunks: row.chunkItems.length } })
  return row
}

/** No row names the file before its commit, so that whatever fails earlier leaves no file behind. */
function asNotRun (error: unknown): AnvilarchError {
  const known = toAnvilarchError(error, { code: 'internal', step: STEP })
  if (known.ran === 'not_run') return known
  const { peer, retryAfterMs } = known
  return new AnvilarchError(known.message, { code: 'platform_unavailable', step: STEP, peer, retryAfterMs, ran: 'not_run', cause: known })
}

async function takeContent (
  request: IncomingMessage, writer: ChunkWriter, identity: { fileId: string, caller: string, createdAtMs: number }
): Promise<FileRow> {
  const form = await readMultipart(request, writer.push)
  checkForm(form)
  const content = await writer.finish()
  return {
    id: identity.fileId,
    caller: identity.caller,
    fileName: form.fileName ?? DEFAULT_FILE_NAME,
    purpose: PURPOSE,
    createdAtMs: identity.createdAtMs,
    ...content,
    jobIds: []
  }
}

/**
 * A gateway that dies in the middle of an upload leaves chunks that no file names. This row tells the sweeper of them, so
 * that it need not list all chunks to find a few.
 */
async function noteUpload (settle: CommitRetryContext, fileId: string, row: UploadRow): Promise<Condition> {
  const key = JOB_KEYS.upload(fileId)
  const commit = { commitId: randomUUID(), conditions: [{ key, version: 0 }], writes: [{ key, value: JSON.stringify(row) }] }
  const result = await commitWithRetry(settle, commit, STEP).catch((error: unknown) => { throw asNotRun(error) })
  if (result.outcome === 'committed') return { key, version: result.versions[key] }
  throw new AnvilarchError('The id of the upload is in use. Send the file again.', {
    code: 'overloaded', step: STEP, ran: 'not_run', retryAfterMs: RETRY_MS
  })
}

function checkForm (form: UploadForm): void {
  if (form.fileName === undefined) throw badForm('The form has no field "file" with a file.')
  if (form.purpose !== PURPOSE) throw badForm(`The field "purpose" must be "${PURPOSE}", found ${JSON.stringify(form.purpose ?? null)}.`)
}

function badForm (message: string): AnvilarchError {
  return new AnvilarchError(message, { code: 'bad_request', step: STEP, ran: 'not_run' })
}

/** The sweeper deletes the row of an upload that takes too long before its chunks; the condition on it notices that. */
async function commitFile (settle: CommitRetryContext, row: FileRow, upload: Condition): Promise<void> {
  const key = ROW_KEYS.file(row.id)
  const commit = {
    commitId: randomUUID(),
    conditions: [{ key, version: 0 }, upload],
    writes: [
      { key, value: JSON.stringify(row) },
      { key: JOB_KEYS.callerFile(row.caller, row.id), value: '{}' },
      { key: upload.key, value: null }
    ]
  }
  const result = await commitWithRetry(settle, commit, STEP)
  if (result.outcome === 'committed' || result.rows.some(current => current.key === key && current.version > 0)) return
  throw new AnvilarchError('The upload took too long and was given up. Send the file again.', {
    code: 'deadline_exceeded', step: STEP, ran: 'not_run'
  })
}

/** What can't be removed now is found by the sweeper. */
async function discard (context: DaemonContext, settle: CommitRetryContext, writer: ChunkWriter, fileId: string): Promise<void> {
  try {
    await writer.discard()
    const writes = [{ key: JOB_KEYS.upload(fileId), value: null }]
    await commitWithRetry(settle, { commitId: randomUUID(), conditions: [], writes }, STEP)
  } catch (error) {
    context.logger.warn('chunks of a refused upload stay for the sweeper', { fileId, error: String(error) })
  }
}
