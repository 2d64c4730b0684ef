/** Reads results of jobs. A result never changes, so it can be cached. */
import { LRUCache } from 'lru-cache'
import { Err, Ok, type Result } from 'ts-results'
import type { MetadataStore, StoreFailure } from '../store/types'
import { resultKey, resultObject } from './jobRows'
import type { ItemOutcome, JobItem, JobRecord } from './types'
import { decodeSubmission } from './submission'
import { submissionObject } from './jobRows'

/** A result as it is returned to a client. */
export interface JobResult {
  itemId: string
  outcome: ItemOutcome
  output: string
}

/** A page of results. */
export interface ResultPage {
  totalItems: number
  nextPosition: number
  results: JobResult[]
}

/** Size of each cache. The smallest gateway has 178 MB, of which its process uses about 70 MB. */
const CACHE_BYTES = 12 * 1024 * 1024

/** Maximum bytes of text in one page. The response holds them as JSON and stays under 1 MB. */
const PAGE_BYTES = 700 * 1024

/** Marks a row whose text is stored in an object. UTF-8 text cannot begin with this byte. */
export const OBJECT_MARK = Buffer.from([0xff])

/** Reads results and submissions through a cache. */
export interface ResultReader {
  page: (job: JobRecord, afterPosition: number) => Promise<Result<ResultPage, StoreFailure>>
  items: (jobId: string) => Promise<Result<JobItem[] | undefined, StoreFailure>>
}

/**
 * @param store - store of the results
 * @returns a reader with empty caches
 */
export function createResultReader (store: MetadataStore): ResultReader {
  const texts = new LRUCache<string, string>({ maxSize: CACHE_BYTES, sizeCalculation: text => text.length + 1 })
  const submissions = new LRUCache<string, JobItem[]>({
    maxSize: CACHE_BYTES,
    sizeCalculation: items => items.reduce((sum, item) => sum + item.body.length + 1, 1)
  })

  const readText = async (jobId: string, item: number): Promise<Result<string, StoreFailure>> => {
    const key = resultKey(jobId, item)
    const cached = texts.get(key.key)
    if (cached !== undefined) return Ok(cached)
    const read = await store.readRows({ ...key, from: key.key, to: key.key + '\u0001' })
    if (read.err) return Err(read.val)
    const row = read.val.rows.find(candidate => candidate.key === key.key)
    if (row === undefined) return Err({ reason: 'the row of a listed result does not exist' })
    if (!row.value.subarray(0, 1).equals(OBJECT_MARK)) return Ok(cacheText(key.key, row.value.toString()))
    const object = await store.readObject(resultObject(jobId, item))
    if (object.err) return Err(object.val)
    if (object.val === undefined) return Err({ reason: 'the object of a listed result does not exist' })
    return Ok(cacheText(key.key, object.val.toString()))
  }

  const cacheText = (key: string, text: string): string => {
    texts.set(key, text)
    return text
  }

  return {
    page: async (job, afterPosition) => {
      const results: JobResult[] = []
      let bytes = 0
      for (const entry of job.listed.slice(afterPosition)) {
        const text = entry.outcome === 'completed' ? await readText(job.jobId, entry.item) : Ok('')
        if (text.err) return results.length > 0 ? Ok(pageOf(job, afterPosition, results)) : Err(text.val)
        bytes += Buffer.byteLength(text.val)
        if (results.length > 0 && bytes > PAGE_BYTES) break
        results.push({ itemId: job.itemIds[entry.item], outcome: entry.outcome, output: text.val })
      }
      return Ok(pageOf(job, afterPosition, results))
    },
    items: async jobId => {
      const cached = submissions.get(jobId)
      if (cached !== undefined) return Ok(cached)
      const read = await store.readObject(submissionObject(jobId))
      if (read.err) return Err(read.val)
      if (read.val === undefined) return Ok(undefined)
      const items = decodeSubmission(read.val)
      if (items === undefined) return Err({ reason: 'the items of a job cannot be decoded' })
      submissions.set(jobId, items)
      return Ok(items)
    }
  }
}

function pageOf (job: JobRecord, afterPosition: number, results: JobResult[]): ResultPage {
  return { totalItems: job.itemIds.length, nextPosition: afterPosition + results.length, results }
}
