/** How much is logged, by message and by request. */
import type { LogLine } from './readLogs'

/** Lines of one message. */
export interface MessageVolume {
  message: string
  lineCount: number
  byteCount: number
}

/** Volume of logs. */
export interface LogVolume {
  lineCount: number
  byteCount: number
  /** Requests and jobs that the logs name. */
  requestCount: number
  messages: MessageVolume[]
}

/**
 * @param lines - of all processes
 * @returns their volume, the largest message first
 */
export function logVolume (lines: readonly LogLine[]): LogVolume {
  const messages = new Map<string, MessageVolume>()
  const requests = new Set<unknown>()
  for (const line of lines) {
    const volume = messages.get(line.message) ?? { message: line.message, lineCount: 0, byteCount: 0 }
    volume.lineCount++
    volume.byteCount += Buffer.byteLength(JSON.stringify(line)) + 1
    messages.set(line.message, volume)
    const id = line.requestId ?? line.jobId
    if (id !== undefined) requests.add(id)
  }
  const sorted = [...messages.values()].sort((a, b) => b.byteCount - a.byteCount)
  return {
    lineCount: lines.length,
    byteCount: sorted.reduce((sum, volume) => sum + volume.byteCount, 0),
    requestCount: requests.size,
    messages: sorted
  }
}
