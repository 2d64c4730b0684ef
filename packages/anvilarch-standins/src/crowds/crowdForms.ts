/** What the clients of a crowd write, by their form. */
import type { Socket } from 'node:net'
import type { CrowdForm, CrowdOptions } from './types'

const PIECE_BYTES = 16 * 1024
const CHUNK_BYTES = 64 * 1024

/** Upper limit of what a client sends without end. */
const MAX_ENDLESS_BYTES = 16 * 1024 * 1024

const EMPTY_LINES = Buffer.from('\r\n'.repeat(50))
const EMPTY_LINES_INTERVAL_MS = 20

/** Pause between two bytes of a head that arrives slowly. */
const SLOW_BYTE_MS = 400

/** Sends what a client of the form sends. Resolves when it has been written, which may never happen. */
type SendForm = (socket: Socket, options: CrowdSizes) => Promise<void>

type CrowdSizes = Required<CrowdOptions>

const statedHead = ({ target, bytesPerClient }: CrowdSizes): string => `${target.postHead}\r\nContent-Length: ${bytesPerClient}\r\n\r\n`

const chunkedHead = ({ target }: CrowdSizes): string => `${target.postHead}\r\nTransfer-Encoding: chunked\r\n\r\n`

async function write (socket: Socket, bytes: Buffer | string): Promise<void> {
  await new Promise<void>(resolve => {
    socket.once('close', resolve)
    socket.write(bytes, () => {
      socket.off('close', resolve)
      resolve()
    })
  })
}

/** Writes a block again and again until this many bytes are written or the connection is closed. */
async function writeRepeatedly (socket: Socket, block: Buffer, totalBytes: number): Promise<void> {
  for (let sentBytes = 0; sentBytes < totalBytes && !socket.destroyed; sentBytes += block.length) await write(socket, block.subarray(0, totalBytes - sentBytes))
}

function framedChunk (dataBytes: number): Buffer {
  return Buffer.from(`${dataBytes.toString(16)}\r\n${'x'.repeat(dataBytes)}\r\n`)
}

/** @returns whole chunks of one byte */
export function tinyChunks (count: number): Buffer {
  return Buffer.from('1\r\nx\r\n'.repeat(count))
}

const TINY_CHUNKS_PER_BLOCK = 2000

async function sendTinyChunks (socket: Socket, count: number): Promise<void> {
  const block = tinyChunks(TINY_CHUNKS_PER_BLOCK)
  await writeRepeatedly(socket, block, count * (block.length / TINY_CHUNKS_PER_BLOCK))
}

async function firstResponse (socket: Socket): Promise<void> {
  await new Promise<void>(resolve => {
    socket.once('data', () => { resolve() })
    socket.once('close', () => { resolve() })
  })
}

/** Writes empty lines for as long as the connection is open. */
async function writeEmptyLines (socket: Socket): Promise<void> {
  while (!socket.destroyed) {
    await write(socket, EMPTY_LINES)
    await new Promise(resolve => setTimeout(resolve, EMPTY_LINES_INTERVAL_MS))
  }
}

/** Handlers by form. */
export const SEND_FORMS: Record<CrowdForm, SendForm> = {
  stated_bodies: async (socket, options) => {
    await write(socket, statedHead(options))
    await write(socket, Buffer.alloc(options.bytesPerClient - 1, 'x'))
  },
  gradual_bodies: async (socket, options) => {
    await write(socket, statedHead(options))
    await writeRepeatedly(socket, Buffer.alloc(PIECE_BYTES, 'x'), options.bytesPerClient - 1)
  },
  chunked_bodies: async (socket, options) => {
    await write(socket, chunkedHead(options))
    const chunk = framedChunk(CHUNK_BYTES)
    await writeRepeatedly(socket, chunk, Math.floor(options.bytesPerClient / CHUNK_BYTES) * chunk.length)
  },
  tiny_chunks: async (socket, options) => {
    await write(socket, chunkedHead(options))
    await sendTinyChunks(socket, options.bytesPerClient)
  },
  chunk_extensions: async (socket, options) => {
    await write(socket, `${chunkedHead(options)}1`)
    await writeRepeatedly(socket, Buffer.from(';name=value'.repeat(1000)), MAX_ENDLESS_BYTES)
  },
  trailers: async (socket, options) => {
    await write(socket, `${chunkedHead(options)}1\r\nx\r\n0\r\n`)
    await writeRepeatedly(socket, Buffer.from('name: value\r\n'.repeat(1000)), MAX_ENDLESS_BYTES)
  },
  unfinished_heads: async (socket, options) => {
    await write(socket, `${options.target.postHead}\r\nx-note: ${'n'.repeat(options.bytesPerClient)}`)
  },
  endless_heads: async (socket, { target }) => {
    await write(socket, target.postHead)
    await writeRepeatedly(socket, Buffer.from(`\r\nx-note: ${'n'.repeat(2000)}`.repeat(8)), MAX_ENDLESS_BYTES)
  },
  empty_lines: writeEmptyLines,
  empty_lines_after_response: async (socket, { target }) => {
    const answered = firstResponse(socket)
    await write(socket, target.getRequest)
    await answered
    await writeEmptyLines(socket)
  },
  pipelines: async (socket, { target, requestsPerClient }) => {
    socket.pause()
    await write(socket, target.getRequest.repeat(requestsPerClient))
  },
  unread_responses: async (socket, { target }) => {
    socket.pause()
    await write(socket, target.getRequest)
  },
  silent_connections: async () => {},
  slow_heads: async (socket, { target }) => {
    for (const byte of Buffer.from(target.postHead)) {
      if (socket.destroyed) return
      await write(socket, Buffer.from([byte]))
      await new Promise(resolve => setTimeout(resolve, SLOW_BYTE_MS))
    }
  }
}
