/** Downloads the output or error file of a job. */
import { createWriteStream } from 'node:fs'
import { rename, rm, writeFile } from 'node:fs/promises'
import { Transform } from 'node:stream'
import { pipeline } from 'node:stream/promises'
import { fileError } from '../files'
import { transportFailure } from '../gateway/failures'
import type { CliSession } from '../session'

/** Size of a downloaded file. */
export interface DownloadedFile {
  lines: number
  bytes: number
}

const NEWLINE = 0x0a

/**
 * Downloads to a temporary file in the same directory, which is renamed when it is complete. Otherwise a lost connection would
 * leave a file that looks complete but has fewer results.
 *
 * @param session - of the running command
 * @param fileId - id of the file
 * @param path - where to write it
 * @returns size of the file
 */
export async function downloadToFile (session: CliSession, fileId: string, path: string): Promise<DownloadedFile> {
  const partPath = `${path}.part`
  try {
    const downloaded = await download(session, fileId, createWriteStream(partPath), { end: true })
    await rename(partPath, path).catch(cause => { throw fileError(path, cause) })
    return downloaded
  } catch (error) {
    await rm(partPath, { force: true }).catch(() => {})
    throw error
  }
}

/**
 * Downloads to standard output.
 *
 * @param session - of the running command
 * @param fileId - id of the file
 * @returns size of the file
 */
export async function downloadToOutput (session: CliSession, fileId: string): Promise<DownloadedFile> {
  return await download(session, fileId, session.environment.stdout, { end: false })
}

/**
 * Writes an empty file.
 *
 * @param path - where to write it
 * @returns size of the file: zero
 */
export async function writeEmptyFile (path: string): Promise<DownloadedFile> {
  await writeFile(path, '').catch(cause => { throw fileError(path, cause) })
  return { lines: 0, bytes: 0 }
}

async function download (
  session: CliSession, fileId: string, sink: NodeJS.WritableStream, options: { end: boolean }
): Promise<DownloadedFile> {
  const { body, gatewayUrl } = await session.gateway.fileContent(fileId)
  const size = { lines: 0, bytes: 0 }
  const counter = new Transform({
    transform (chunk: Buffer, _encoding, done) {
      size.bytes += chunk.length
      size.lines += countLines(chunk)
      done(null, chunk)
    }
  })
  try {
    await pipeline(body, counter, sink, options)
  } catch (cause) {
    throw isFileSystemError(cause) ? fileError(cause.path ?? '', cause) : transportFailure(cause, { step: 'jobs.results', gatewayUrl, isRead: true })
  }
  return size
}

function countLines (chunk: Buffer): number {
  let lines = 0
  for (let at = chunk.indexOf(NEWLINE); at >= 0; at = chunk.indexOf(NEWLINE, at + 1)) lines++
  return lines
}

function isFileSystemError (cause: unknown): cause is NodeJS.ErrnoException {
  return cause instanceof Error && (cause as NodeJS.ErrnoException).path !== undefined
}
