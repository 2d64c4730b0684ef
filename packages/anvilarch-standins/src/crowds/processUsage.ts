/** Memory and descriptors of a process, as the system reports them. */
import { readdirSync, readFileSync, readlinkSync } from 'node:fs'

const SAMPLE_INTERVAL_MS = 25
const KIBIBYTE = 1024

/** Columns of `/proc/net/tcp`. */
const LOCAL_ADDRESS_COLUMN = 1
const QUEUES_COLUMN = 4

/** Usage of a process. */
export interface ProcessUsage {
  /** Resident memory, plus what the kernel has received on the port and the process has not read. */
  memoryBytes: number
  /** Open sockets. */
  sockets: number
}

/** Highest usage of a process over time. */
export interface UsageWatch {
  peak: () => ProcessUsage
  /** @returns the usage now; nothing is used if there is no such process */
  now: () => ProcessUsage
  stop: () => void
}

/**
 * @param processId - process that listens on the port
 * @param port - port of its clients
 * @returns its usage; undefined if there is no such process
 */
export function readUsage (processId: number, port: number): ProcessUsage | undefined {
  try {
    const residentBytes = readResidentBytes(processId)
    return residentBytes === undefined ? undefined : { memoryBytes: residentBytes + unreadBytes(port), sockets: countSockets(processId) }
  } catch {
    return undefined
  }
}

/**
 * @param processId - a process
 * @returns its resident memory; undefined if there is no such process
 */
export function readResidentBytes (processId: number): number | undefined {
  try {
    const kibibytes = /^VmRSS:\s+(\d+) kB/m.exec(readFileSync(`/proc/${processId}/status`, 'utf8'))?.[1]
    return kibibytes === undefined ? undefined : Number(kibibytes) * KIBIBYTE
  } catch {
    return undefined
  }
}

function countSockets (processId: number): number {
  const folder = `/proc/${processId}/fd`
  return readdirSync(folder).filter(descriptor => {
    try {
      return readlinkSync(`${folder}/${descriptor}`).startsWith('socket:')
    } catch {
      // It has been closed since the folder was read.
      return false
    }
  }).length
}

function unreadBytes (port: number): number {
  const localPort = `:${port.toString(16).toUpperCase().padStart(4, '0')}`
  return readFileSync('/proc/net/tcp', 'utf8').split('\n').slice(1).reduce((bytes, line) => {
    const columns = line.trim().split(/\s+/)
    if (!(columns[LOCAL_ADDRESS_COLUMN] ?? '').endsWith(localPort)) return bytes
    return bytes + Number.parseInt(columns[QUEUES_COLUMN].split(':')[1], 16)
  }, 0)
}

/**
 * @param processId - process that listens on the port
 * @param port - port of its clients
 * @returns a watch that samples the usage until it is stopped
 */
export function watchUsage (processId: number, port: number): UsageWatch {
  const peak: ProcessUsage = { memoryBytes: 0, sockets: 0 }
  const sample = (): void => {
    const usage = readUsage(processId, port)
    if (usage === undefined) return
    peak.memoryBytes = Math.max(peak.memoryBytes, usage.memoryBytes)
    peak.sockets = Math.max(peak.sockets, usage.sockets)
  }
  const timer = setInterval(sample, SAMPLE_INTERVAL_MS)
  return {
    now: () => readUsage(processId, port) ?? { memoryBytes: 0, sockets: 0 },
    peak: () => {
      sample()
      return peak
    },
    stop: () => { clearInterval(timer) }
  }
}
