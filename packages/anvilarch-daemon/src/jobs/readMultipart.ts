/** Reads the multipart form of an upload and streams the content of its file to a sink. */
import type { IncomingMessage } from 'node:http'
import { setImmediate } from 'node:timers/promises'
import { Busboy, type BusboyInstance, type BusboyFileStream, type BusboyHeaders } from '@fastify/busboy'
import { AnvilarchError } from 'anvilarch-utils'

/** Receives the content of the file, piece by piece. */
export type ContentSink = (data: Buffer) => Promise<void>

/** Fields of the form besides the content. */
export interface UploadForm {
  purpose: string | undefined
  /** Undefined when the form has no file. */
  fileName: string | undefined
}

const STEP = 'jobs.upload'
const FILE_FIELD = 'file'
const PURPOSE_FIELD = 'purpose'
const MAX_FIELDS = 16
const MAX_FIELD_BYTES = 1_024

/**
 * @param request - upload request
 * @param sink - receives the content; the request is read no faster than the sink accepts it
 * @param rejected - aborted when incomplete requests are rejected, with the error as its reason
 * @returns the fields of the form, after its end was read
 * @throws AnvilarchError with code `bad_request` when the form is malformed or ends early
 */
export async function readMultipart (request: IncomingMessage, sink: ContentSink, rejected: AbortSignal): Promise<UploadForm> {
  const form: UploadForm = { purpose: undefined, fileName: undefined }
  const parser = createParser(request)
  let reading: Promise<void> | undefined
  let stopListening = (): void => {}
  try {
    await new Promise<void>((resolve, reject) => {
      const fail = (error: unknown): void => { reject(error instanceof AnvilarchError ? error : malformed(error)) }
      parser.on('field', (name, value) => { if (name === PURPOSE_FIELD) form.purpose = value })
      parser.on('file', (name, stream, fileName) => {
        stream.on('error', fail)
        if (name !== FILE_FIELD || reading !== undefined) {
          stream.resume()
          return
        }
        form.fileName = fileName
        reading = forward(stream, sink)
        reading.catch(fail)
      })
      parser.on('error', fail)
      parser.on('finish', () => { Promise.resolve(reading).then(() => resolve(), fail) })
      // Otherwise a caller that disconnects would leave the parser waiting forever and its chunks in the store.
      request.on('error', fail)
      stopListening = onAbort(rejected, () => { fail(rejected.reason) })
      request.pipe(parser)
    })
  } finally {
    stopListening()
    // The rest of a rejected upload is read and discarded, since many clients read the response only after they have sent everything.
    request.unpipe(parser)
    request.resume()
  }
  return form
}

/** @returns a function that removes the listener */
function onAbort (signal: AbortSignal, listener: () => void): () => void {
  if (signal.aborted) listener()
  signal.addEventListener('abort', listener)
  return () => { signal.removeEventListener('abort', listener) }
}

function createParser (request: IncomingMessage): BusboyInstance {
  try {
    return new Busboy({
      headers: request.headers as BusboyHeaders,
      limits: { fields: MAX_FIELDS, fieldSize: MAX_FIELD_BYTES, files: 1 }
    })
  } catch (error) {
    throw malformed(error)
  }
}

/** Yields to the event loop after each piece, so that checking a large file does not delay other requests. */
async function forward (stream: BusboyFileStream, sink: ContentSink): Promise<void> {
  for await (const data of stream) {
    await sink(data as Buffer)
    await setImmediate()
  }
}

function malformed (error: unknown): AnvilarchError {
  const reason = error instanceof Error ? error.message : String(error)
  return new AnvilarchError(
    `The upload could not be read: ${reason}. Send a whole multipart form with the fields "purpose" and "file".`,
    { code: 'bad_request', step: STEP, ran: 'not_run', cause: error }
  )
}
