/** Measures the volume of logs by message and by request. */
import type { LogLine } from './readLogs'

/** Volume of the lines with one message. */
export interface MessageVolume {
  message: string
  lineCount: number
  byteCount: number
}

/** Volume of logs. */
export interface LogVolume {
  lineCount: number
  byteCount: number
  /** Number of distinct requests and jobs in the logs. */
  requestCount: number
  messages: MessageVolume[]
}

/**
 * @param lines - of all processes
 * @returns their volume, messages sorted by bytes in descending order
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
