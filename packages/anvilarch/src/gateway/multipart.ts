/** Streams a file from disk as a multipart/form-data body: a job may have 910,000 lines. */
import { randomUUID } from 'node:crypto'
import { createReadStream } from 'node:fs'
import { basename } from 'node:path'
import { Readable } from 'node:stream'
import { CliError } from '../cliError'
import { fileError } from '../files'

/** A request body with its headers. */
export interface MultipartBody {
  headers: Record<string, string>
  /** Opens a new stream that reads the file from its start. */
  open: () => Readable
}

/**
 * @param path - the file
 * @param sizeBytes - its size; the stream fails if the file no longer has it
 * @param fields - form fields that precede the file
 * @returns the body
 */
export function createMultipartBody (path: string, sizeBytes: number, fields: Record<string, string>): MultipartBody {
  const boundary = `anvilarch-${randomUUID()}`
  const fieldParts = Object.entries(fields).map(([name, value]) =>
    `--${boundary}\r\nContent-Disposition: form-data; name="${name}"\r\n\r\n${value}\r\n`)
  const fileName = encodeURIComponent(basename(path))
  const head = Buffer.from(
    `${fieldParts.join('')}--${boundary}\r\nContent-Disposition: form-data; name="file"; filename="${fileName}"\r\nContent-Type: application/jsonl\r\n\r\n`
  )
  const tail = Buffer.from(`\r\n--${boundary}--\r\n`)

  async function * chunks (): AsyncGenerator<Buffer> {
    yield head
    yield * readExactly(path, sizeBytes)
    yield tail
  }

  return {
    headers: {
      'content-type': `multipart/form-data; boundary=${boundary}`,
      'content-length': String(head.length + sizeBytes + tail.length)
    },
    open: () => Readable.from(chunks(), { objectMode: false })
  }
}

/** Fails if the size has changed: a file that is written to during the upload could be sent with half a line at its end. */
async function * readExactly (path: string, sizeBytes: number): AsyncGenerator<Buffer> {
  let readBytes = 0
  try {
    for await (const chunk of createReadStream(path) as AsyncIterable<Buffer>) {
      readBytes += chunk.length
      if (readBytes > sizeBytes) break
      yield chunk
    }
  } catch (cause) {
    throw fileError(path, cause)
  }
  if (readBytes === sizeBytes) return
  throw new CliError(`File "${path}" had ${sizeBytes} bytes when the upload started and has changed since.`, {
    code: 'incomplete', step: 'jobs.upload', exit: 'failed', ran: 'not_run', hint: 'Submit it when nothing writes to it any more.'
  })
}
