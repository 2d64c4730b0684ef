/** Stores an uploaded file. Its row is written after its chunks, so that a visible file is always complete. */
import { randomUUID } from 'node:crypto'
import { type Condition, ROW_KEYS } from 'anvilarch-protocol'
import { AnvilarchError, toAnvilarchError } from 'anvilarch-utils'
import { requireConfiguration } from '../callers/requireConfiguration'
import type { CallerContext } from '../callers/types'
import type { DaemonContext } from '../context'
import { type ChunkWriter, createChunkWriter } from './chunkWriter'
import { type RandomSource, newFileId } from './ids'
import { readMultipart, type UploadForm } from './readMultipart'
import { type FileRow, JOB_KEYS, type UploadRow } from './rows'
import { MAX_ACCEPT_MS } from './acceptJob'
import { commitWithRetry, type CommitRetryContext } from '../platform/commitWithRetry'

type UploadCall = Pick<CallerContext, 'caller' | 'request' | 'drain'>

const STEP = 'jobs.upload'
const PURPOSE = 'batch'
const DEFAULT_FILE_NAME = 'items.jsonl'
const RETRY_MS = 1_000

/**
 * @param context - shared parts of the daemon
 * @param call - upload request with a multipart form
 * @param randomValue - source of random numbers for the id of the file
 * @returns row of the file
 * @throws AnvilarchError when the file was not accepted; then nothing of it remains visible
 */
export async function uploadFile (context: DaemonContext, { caller, request, drain }: UploadCall, randomValue: RandomSource): Promise<FileRow> {
  const { limits } = requireConfiguration(context).document
  const { clock, platform, random, settings } = context
  const settle: CommitRetryContext = { table: platform.table, clock, random }
  const fileId = newFileId(clock.wallMs(), randomValue)
  const writer = createChunkWriter({
    objects: platform.objects,
    fileId,
    partItems: settings.gateway.partItems,
    partBytes: settings.gateway.partBytes,
    maxItemBytes: limits.maxItemBytes,
    maxFileBytes: limits.maxFileBytes
  })
  const upload = await recordUpload(settle, fileId, { caller, startedAtMs: clock.wallMs() })
  const abandon = async (): Promise<void> => { await discard(context, settle, writer, fileId) }
  const row = await receiveContent({ caller, request, drain }, writer, { fileId, createdAtMs: clock.wallMs() }).then(received => {
    drain.check(clock.nowMs() + MAX_ACCEPT_MS)
    return received
  }).catch(async (error: unknown) => {
    await abandon()
    throw toNotRun(error)
  })
  await commitFile(settle, row, upload).catch(async (error: unknown) => {
    // A commit of unknown outcome may have made the file visible, so its chunks must stay.
    if (error instanceof AnvilarchError && error.ran === 'not_run') await abandon()
    throw error
  })
  context.timeline.record('jobs.file_uploaded', { detail: { fileId, sizeBytes: row.sizeBytes, chunks: row.chunkItems.length } })
  return row
}

/** Marks an error as `not_run`: no row names the file before its commit, so an earlier failure leaves no file behind. */
function toNotRun (error: unknown): AnvilarchError {
  const converted = toAnvilarchError(error, { code: 'internal', step: STEP })
  if (converted.ran === 'not_run') return converted
  const { peer, retryAfterMs } = converted
  return new AnvilarchError(converted.message, { code: 'platform_unavailable', step: STEP, peer, retryAfterMs, ran: 'not_run', cause: converted })
}

async function receiveContent (
  { caller, request, drain }: UploadCall, writer: ChunkWriter, identity: { fileId: string, createdAtMs: number }
): Promise<FileRow> {
  const form = await readMultipart(request, writer.push, drain.unreadRejected)
  checkForm(form)
  const content = await writer.finish()
  return {
    id: identity.fileId,
    caller,
    fileName: form.fileName ?? DEFAULT_FILE_NAME,
    purpose: PURPOSE,
    createdAtMs: identity.createdAtMs,
    ...content,
    jobIds: []
  }
}

/**
 * Records the upload before its first chunk is written. A gateway that crashes during an upload leaves chunks that belong to
 * no file; with this row the sweeper finds them without listing all chunks.
 */
async function recordUpload (settle: CommitRetryContext, fileId: string, row: UploadRow): Promise<Condition> {
  const key = JOB_KEYS.upload(fileId)
  const commit = { commitId: randomUUID(), conditions: [{ key, version: 0 }], writes: [{ key, value: JSON.stringify(row) }] }
  const result = await commitWithRetry(settle, commit, STEP).catch((error: unknown) => { throw toNotRun(error) })
  if (result.outcome === 'committed') return { key, version: result.versions[key] }
  throw new AnvilarchError('The id of the upload is in use. Send the file again.', {
    code: 'overloaded', step: STEP, ran: 'not_run', retryAfterMs: RETRY_MS
  })
}

function checkForm (form: UploadForm): void {
  if (form.fileName === undefined) throw invalidForm('The form has no field "file" with a file.')
  if (form.purpose !== PURPOSE) throw invalidForm(`The field "purpose" must be "${PURPOSE}", found ${JSON.stringify(form.purpose ?? null)}.`)
}

function invalidForm (message: string): AnvilarchError {
  return new AnvilarchError(message, { code: 'bad_request', step: STEP, ran: 'not_run' })
}

/** Makes the file visible. The condition on the upload row fails if the sweeper has expired the upload and removes its chunks. */
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

/** Removes the chunks and the row of a failed upload. Whatever cannot be removed now is left to the sweeper. */
async function discard (context: DaemonContext, settle: CommitRetryContext, writer: ChunkWriter, fileId: string): Promise<void> {
  try {
    await writer.discard()
    const writes = [{ key: JOB_KEYS.upload(fileId), value: null }]
    await commitWithRetry(settle, { commitId: randomUUID(), conditions: [], writes }, STEP)
  } catch (error) {
    context.logger.warn('chunks of a refused upload stay for the sweeper', { fileId, error: String(error) })
  }
}
