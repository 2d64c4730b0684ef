/** Streams the content of files to callers, with backpressure. */
import { once } from 'node:events'
import type { ServerResponse } from 'node:http'
import { OBJECT_NAMES, ROW_KEYS } from 'anvilarch-protocol'
import { AnvilarchError, abortResponse, invariant } from 'anvilarch-utils'
import type { DaemonContext } from '../context'
import { partRows } from './readJob'
import { type FileRow, type JobRow, parseRow, type PartRow, type ResultKind } from './rows'

const CONTENT_TYPE = 'application/jsonl'

/** Reads one object of a file. */
type ObjectReader = () => Promise<Uint8Array>

/**
 * @param context - shared parts of the daemon
 * @param file - an uploaded file
 * @param response - response to the caller
 * @param signal - aborted when the caller disconnects
 */
export async function sendFileContent (context: DaemonContext, file: FileRow, response: ServerResponse, signal: AbortSignal): Promise<void> {
  await sendObjects(chunkReaders(context, file, signal), response, signal, { 'content-length': String(file.sizeBytes) })
}

/** The row has the size of the file only, so a chunk of wrong size is detected at the last chunk or when the file size is exceeded. */
function chunkReaders (context: DaemonContext, file: FileRow, signal: AbortSignal): ObjectReader[] {
  let foundBytes = 0
  return file.chunkItems.map((_items, chunk) => {
    const read = objectReader(context, OBJECT_NAMES.fileChunk(file.id, chunk), signal)
    const isLast = chunk === file.chunkItems.length - 1
    return async () => {
      const body = await read()
      foundBytes += body.length
      if (isLast ? foundBytes === file.sizeBytes : foundBytes <= file.sizeBytes) return body
      throw incomplete(`The chunks of file "${file.id}" hold ${foundBytes} bytes instead of ${file.sizeBytes}.`)
    }
  })
}

/**
 * Sends the committed results only: segments that no part row references are not read.
 *
 * @param context - shared parts of the daemon
 * @param job - job that has ended
 * @param kind - kind of results
 * @param response - response to the caller
 * @param signal - aborted when the caller disconnects
 */
export async function sendResults (
  context: DaemonContext, job: JobRow, kind: ResultKind, response: ServerResponse, signal: AbortSignal
): Promise<void> {
  await sendObjects(segmentReaders(context, job.id, kind, signal), response, signal, {})
}

async function * segmentReaders (context: DaemonContext, jobId: string, kind: ResultKind, signal: AbortSignal): AsyncGenerator<ObjectReader> {
  for await (const row of partRows(context, jobId, signal)) {
    const part = Number(row.key.slice(ROW_KEYS.parts(jobId).length))
    for (const segment of parseRow<PartRow>(row.value).segments) {
      if (segment.kind !== kind) continue
      const read = objectReader(context, OBJECT_NAMES.result(jobId, part, segment.epoch, segment.segment, kind), signal)
      yield async () => {
        const body = await read()
        invariant(body.length === segment.sizeBytes, 'segment_is_whole', () => `${body.length} of ${segment.sizeBytes} bytes`)
        return body
      }
    }
  }
}

function objectReader (context: DaemonContext, name: string, signal: AbortSignal): ObjectReader {
  return async () => {
    const body = await context.platform.objects.get(name, undefined, signal)
    if (body !== null) return body
    throw incomplete(`The object "${name}" is missing.`)
  }
}

function incomplete (message: string): AnvilarchError {
  return new AnvilarchError(message, { code: 'incomplete', step: 'jobs.read_content', ran: 'ran' })
}

/**
 * After the head has been sent, an error can no longer be reported. The connection is then closed before the end of the body,
 * so that the caller detects the incomplete content.
 */
async function sendObjects (
  readers: Iterable<ObjectReader> | AsyncIterable<ObjectReader>, response: ServerResponse, signal: AbortSignal, headers: Record<string, string>
): Promise<void> {
  try {
    for await (const read of readers) {
      const body = await read()
      if (!response.headersSent) response.writeHead(200, { 'content-type': CONTENT_TYPE, ...headers })
      if (!response.write(body)) await once(response, 'drain', { signal })
    }
  } catch (error) {
    if (!response.headersSent) throw error
    abortResponse(response)
    return
  }
  if (!response.headersSent) response.writeHead(200, { 'content-type': CONTENT_TYPE, ...headers })
  response.end()
}
