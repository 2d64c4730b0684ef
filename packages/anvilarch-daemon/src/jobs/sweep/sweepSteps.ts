/** Removes rows and objects. Each step can be interrupted and repeated, since the row that refers to the rest is removed last. */
import { randomUUID } from 'node:crypto'
import { type Commit, ROW_KEYS, type Row, type Write } from 'anvilarch-protocol'
import type { DaemonContext } from '../../context'
import { JOB_KEYS, type FileRow, type JobKeyRow, type JobRow, parseRow, type PartRow, type UploadRow } from '../rows'
import { isFileExpired, isUploadExpired, partOfObject, planJob, referencedNames, type SweepTimes } from './sweepPlan'

/** Objects removed concurrently; few, since running jobs take precedence at the object store. */
const MAX_PARALLEL_REMOVALS = 8
const LIST_PAGE = 200
const DELETED_ROWS_PER_COMMIT = 200

/** Steps of the sweeper, one for each kind of row. */
export interface SweepSteps {
  job: (row: Row, times: SweepTimes) => Promise<void>
  file: (row: Row, times: SweepTimes) => Promise<void>
  upload: (row: Row, times: SweepTimes) => Promise<void>
}

/**
 * @param context - shared parts of the daemon
 * @returns the steps of the sweeper
 */
export function createSweepSteps (context: DaemonContext): SweepSteps {
  const { objects, table } = context.platform

  const commit = async (conditions: Commit['conditions'], writes: Write[]): Promise<void> => {
    await table.commit({ commitId: randomUUID(), conditions, writes })
  }

  const removeObjects = async (names: readonly string[]): Promise<void> => {
    for (let start = 0; start < names.length; start += MAX_PARALLEL_REMOVALS) {
      await Promise.all(names.slice(start, start + MAX_PARALLEL_REMOVALS).map(async name => { await objects.remove(name) }))
    }
  }

  const removePrefix = async (prefix: string): Promise<void> => {
    for (let names = await listPage(prefix); names.length > 0; names = await listPage(prefix)) await removeObjects(names)
  }

  const listPage = async (prefix: string): Promise<string[]> => (await objects.list(prefix, { limit: LIST_PAGE })).names

  /** Removes segments that a holder wrote but could not commit, since its part was taken over or the job had ended. */
  const removeUnreferenced = async (job: JobRow): Promise<void> => {
    let after: string | undefined
    do {
      const page = await objects.list(`results/${job.id}/`, { after, limit: LIST_PAGE })
      const parts = [...new Set(page.names.map(name => partOfObject(job.id, name)))]
      const rows = parts.length === 0 ? [] : await table.read(parts.map(part => ROW_KEYS.part(job.id, part)))
      const referenced = parts.map((part, position) => referencedNames(job.id, part, partRow(rows[position])))
      await removeObjects(page.names.filter(name => !referenced.some(names => names.has(name))))
      after = page.next
    } while (after !== undefined)
  }

  const removeParts = async (jobId: string): Promise<void> => {
    for (;;) {
      const { rows } = await table.scan(ROW_KEYS.parts(jobId), { limit: DELETED_ROWS_PER_COMMIT })
      if (rows.length === 0) return
      await commit([], rows.map(({ key }) => ({ key, value: null })))
    }
  }

  const removeJob = async (row: Row, job: JobRow): Promise<void> => {
    await removePrefix(`results/${job.id}/`)
    await removeParts(job.id)
    const keyRowKey = JOB_KEYS.jobByKey(job.caller, job.key)
    const [keyRow] = await table.read([keyRowKey])
    const conditions = [{ key: row.key, version: row.version }]
    const writes: Write[] = [{ key: row.key, value: null }, { key: JOB_KEYS.callerJob(job.caller, job.id), value: null }]
    // The key may belong to a later job with the same content by now.
    if (keyRow !== null && parseRow<JobKeyRow>(keyRow.value).jobId === job.id) {
      conditions.push({ key: keyRowKey, version: keyRow.version })
      writes.push({ key: keyRowKey, value: null })
    }
    await commit(conditions, writes)
    context.timeline.record('jobs.removed', { jobId: job.id })
  }

  const hasActiveJob = async (file: FileRow): Promise<boolean> => {
    if (file.jobIds.length === 0) return false
    const rows = await table.read(file.jobIds.map(ROW_KEYS.job))
    return rows.some(row => row !== null && parseRow<JobRow>(row.value).state === 'in_progress')
  }

  return {
    job: async (row, times) => {
      const job = parseRow<JobRow>(row.value)
      const plan = planJob(job, times)
      if (plan === 'remove') await removeJob(row, job)
      if (plan !== 'remove_unreferenced') return
      await removeUnreferenced(job)
      const value: JobRow = { ...job, isSwept: true }
      await commit([{ key: row.key, version: row.version }], [{ key: row.key, value: JSON.stringify(value) }])
    },
    file: async (row, times) => {
      const file = parseRow<FileRow>(row.value)
      if (!isFileExpired(file, await hasActiveJob(file), times)) return
      await commit([{ key: row.key, version: row.version }], deletedFileWrites(file))
    },
    upload: async (row, times) => {
      const upload = parseRow<UploadRow>(row.value)
      if (!isUploadExpired(upload, times.wallMs)) return
      const fileId = row.key.slice(JOB_KEYS.uploads.length)
      const { key } = row
      // Changes the version of the row before the chunks are removed, so that the commit of a slow upload is rejected.
      const value: UploadRow = { ...upload, startedAtMs: 0 }
      const marked = await table.commit({ commitId: randomUUID(), conditions: [{ key, version: row.version }], writes: [{ key, value: JSON.stringify(value) }] })
      if (marked.outcome === 'conflict') return
      await removePrefix(`files/${fileId}/`)
      await commit([{ key, version: marked.versions[key] }], [{ key, value: null }])
    }
  }
}

/**
 * The row of a deleted file is replaced by an upload row, by which the sweeper finds the chunks.
 *
 * @param file - file to delete
 * @returns the writes that delete the file
 */
export function deletedFileWrites (file: FileRow): Write[] {
  const orphan: UploadRow = { caller: file.caller, startedAtMs: 0 }
  return [
    { key: ROW_KEYS.file(file.id), value: null },
    { key: JOB_KEYS.callerFile(file.caller, file.id), value: null },
    { key: JOB_KEYS.upload(file.id), value: JSON.stringify(orphan) }
  ]
}

function partRow (row: Row | null): PartRow | undefined {
  return row === null ? undefined : parseRow<PartRow>(row.value)
}
