/** Validates the lines of an upload and writes them to the object store in chunks, so that memory does not grow with the file. */
import { createHash } from 'node:crypto'
import { OBJECT_NAMES, type ObjectPort } from 'anvilarch-protocol'
import { AnvilarchError } from 'anvilarch-utils'
import { isBlankLine, parseItemLine } from './itemLine'
import { createLineSplitter } from './lineSplitter'

/** Options of `createChunkWriter`. */
export interface ChunkWriterOptions {
  objects: ObjectPort
  fileId: string
  /** Most items of one chunk. */
  partItems: number
  /** Most bytes of one chunk, unless a single item is larger. */
  partBytes: number
  maxItemBytes: number
  maxFileBytes: number
}

/** Properties of the written content. */
export interface WrittenContent {
  sizeBytes: number
  sha256: string
  chunkItems: number[]
  urls: string[]
  models: string[]
}

/** Writes the content of one file. */
export interface ChunkWriter {
  /** Resolves when more may be pushed. Rejects when the content is invalid or the object store fails. */
  push: (data: Buffer) => Promise<void>
  finish: () => Promise<WrittenContent>
  /** Removes the chunks written so far. */
  discard: () => Promise<void>
}

const STEP = 'jobs.upload'
/** Chunks written to the object store concurrently. */
const MAX_PUTS = 2
/** Models beyond this number are run but not listed in the file row. */
const MAX_LISTED_MODELS = 16

/**
 * A `custom_id` that occurs twice in one chunk is rejected. Duplicates in different chunks are not detected, since that would
 * need memory that grows with the file; each line is a separate item with one result, whatever its `custom_id`.
 *
 * @param options - target and bounds
 * @returns a writer of an empty file
 */
export function createChunkWriter (options: ChunkWriterOptions): ChunkWriter {
  const { objects, fileId } = options
  const splitter = createLineSplitter(options.maxItemBytes)
  const hash = createHash('sha256')
  const chunkItems: number[] = []
  const urls = new Set<string>()
  const models = new Set<string>()
  const puts = new Set<Promise<unknown>>()
  let failure: unknown
  let sizeBytes = 0
  let lineNumber = 0
  let pending: Buffer[] = []
  let pendingBytes = 0
  let customIds = new Map<string, number>()

  const put = async (body: Buffer): Promise<void> => {
    const name = OBJECT_NAMES.fileChunk(fileId, chunkItems.length)
    chunkItems.push(customIds.size)
    const written: Promise<unknown> = objects.putIfAbsent(name, body)
      .catch((error: unknown) => { failure ??= error })
      .finally(() => puts.delete(written))
    puts.add(written)
    if (puts.size >= MAX_PUTS) await Promise.race(puts)
  }

  const closeChunk = async (): Promise<void> => {
    const body = Buffer.concat(pending)
    pending = []
    pendingBytes = 0
    await put(body)
    customIds = new Map()
  }

  const isChunkFull = (line: Buffer): boolean =>
    customIds.size >= options.partItems || (customIds.size > 0 && pendingBytes + line.length > options.partBytes)

  const addItem = (line: Buffer): void => {
    const parsed = parseItemLine(line)
    if (!parsed.ok) throw invalidLine(lineNumber, parsed.problem)
    const { customId, url, body } = parsed.item
    const before = customIds.get(customId)
    if (before !== undefined) throw invalidLine(lineNumber, `"custom_id" "${customId}" was used on line ${before} already`)
    customIds.set(customId, lineNumber)
    urls.add(url)
    if (models.size < MAX_LISTED_MODELS) models.add(String(body.model))
  }

  const addLine = async (line: Buffer): Promise<void> => {
    lineNumber += 1
    if (line.length > options.maxItemBytes) {
      throw invalidLine(lineNumber, `it has more than the ${options.maxItemBytes} bytes that an item may have`)
    }
    const isItem = !isBlankLine(line)
    // A chunk is closed only when another item follows, so that no chunk is without items.
    if (isItem && isChunkFull(line)) await closeChunk()
    if (isItem) addItem(line)
    else if (pendingBytes > options.partBytes + options.maxItemBytes) throw invalidLine(lineNumber, 'there are too many blank lines')
    pending.push(line)
    pendingBytes += line.length
  }

  const checkFailure = (): void => {
    if (failure !== undefined) throw failure
  }

  return {
    push: async data => {
      hash.update(data)
      sizeBytes += data.length
      if (sizeBytes > options.maxFileBytes) throw tooLarge(options.maxFileBytes)
      for (const line of splitter.push(data)) await addLine(line)
      checkFailure()
    },
    finish: async () => {
      const last = splitter.finish()
      if (last !== undefined) await addLine(last)
      if (customIds.size > 0) await closeChunk()
      await Promise.all(puts)
      checkFailure()
      if (chunkItems.length === 0) throw invalidContent('The file has no items. Each line must be a JSON object.')
      return { sizeBytes, sha256: hash.digest('hex'), chunkItems, urls: [...urls], models: [...models] }
    },
    discard: async () => {
      await Promise.all(puts)
      for (let chunk = 0; chunk < chunkItems.length; chunk++) await objects.remove(OBJECT_NAMES.fileChunk(fileId, chunk))
    }
  }
}

function invalidLine (lineNumber: number, problem: string): AnvilarchError {
  return invalidContent(`Line ${lineNumber} of the file can't be used: ${problem}. Nothing was kept; correct the line and upload the file again.`)
}

function invalidContent (message: string): AnvilarchError {
  return new AnvilarchError(message, { code: 'bad_request', step: STEP, ran: 'not_run' })
}

function tooLarge (maxFileBytes: number): AnvilarchError {
  return new AnvilarchError(`The file has more than the ${maxFileBytes} bytes that a file may have.`, {
    code: 'too_large', step: STEP, ran: 'not_run'
  })
}
