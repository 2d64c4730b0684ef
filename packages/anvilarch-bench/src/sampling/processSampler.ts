/** Samples CPU time and memory of processes on this host from `/proc`. */
import { readdir, readFile } from 'node:fs/promises'
import { type Clock, sleep } from 'anvilarch-utils'

/** Counters of one process at one moment. */
export interface ProcessSample {
  /** CPU time of all threads since the process started. */
  cpuMs: number
  residentBytes: number
  /** Resident memory without file-backed pages, most of which are code of the runtime that all its processes on a host share. */
  anonymousBytes: number
  peakResidentBytes: number
  /** Voluntary context switches of all threads: about the number of wake-ups. */
  wakeUps: number
}

/** Resource usage of a process during an interval. */
export interface ProcessUsage {
  /** CPU time as a share of one core. */
  cpuShare: number
  cpuMs: number
  residentBytes: number
  anonymousBytes: number
  peakResidentBytes: number
  wakeUpsPerSecond: number
  durationMs: number
}

const NANOSECONDS_PER_MS = 1e6
const BYTES_PER_KIBIBYTE = 1024
const MS_PER_SECOND = 1000

/**
 * Reads the CPU time of each thread in nanoseconds from the scheduler statistics. `stat` counts in ticks of 10 ms, which is
 * too coarse for an idle daemon.
 *
 * @param pid - a process of this user
 * @returns its counters
 * @throws when the process has exited
 */
export async function sampleProcess (pid: number): Promise<ProcessSample> {
  const threads = await readdir(`/proc/${pid}/task`)
  let cpuMs = 0
  let wakeUps = 0
  for (const thread of threads) {
    const [schedstat, status] = await Promise.all([readThread(pid, thread, 'schedstat'), readThread(pid, thread, 'status')])
    cpuMs += Number(schedstat.split(' ')[0] || 0) / NANOSECONDS_PER_MS
    wakeUps += statusField(status, 'voluntary_ctxt_switches')
  }
  const status = await readFile(`/proc/${pid}/status`, 'utf8')
  return {
    cpuMs,
    wakeUps,
    residentBytes: statusField(status, 'VmRSS') * BYTES_PER_KIBIBYTE,
    anonymousBytes: statusField(status, 'RssAnon') * BYTES_PER_KIBIBYTE,
    peakResidentBytes: statusField(status, 'VmHWM') * BYTES_PER_KIBIBYTE
  }
}

/**
 * @param before - counters at the start
 * @param after - counters at the end
 * @param durationMs - time between them
 * @returns CPU and memory usage between the samples
 */
export function usageBetween (before: ProcessSample, after: ProcessSample, durationMs: number): ProcessUsage {
  const cpuMs = after.cpuMs - before.cpuMs
  return {
    cpuMs,
    cpuShare: cpuMs / durationMs,
    residentBytes: after.residentBytes,
    anonymousBytes: after.anonymousBytes,
    peakResidentBytes: after.peakResidentBytes,
    wakeUpsPerSecond: (after.wakeUps - before.wakeUps) * MS_PER_SECOND / durationMs,
    durationMs
  }
}

/** A usage measurement that `startUsage` has started. */
export interface UsageMeasurement {
  /** @returns the usage of each process since the start, by its key; processes that have exited are omitted */
  finish: () => Promise<Record<string, ProcessUsage>>
}

/**
 * @param pids - process ids by any key
 * @param clock - measures the elapsed time
 * @returns a measurement to be finished at the end of the interval
 */
export async function startUsageMeasurement (pids: Record<string, number>, clock: Clock): Promise<UsageMeasurement> {
  const before: Record<string, { sample: ProcessSample, atMs: number }> = {}
  for (const [key, pid] of Object.entries(pids)) {
    const sample = await sampleProcess(pid)
    before[key] = { sample, atMs: clock.nowMs() }
  }
  return {
    finish: async () => {
      const usage: Record<string, ProcessUsage> = {}
      for (const [key, { sample, atMs }] of Object.entries(before)) {
        const after = await sampleProcess(pids[key]).catch(() => undefined)
        if (after !== undefined) usage[key] = usageBetween(sample, after, clock.nowMs() - atMs)
      }
      return usage
    }
  }
}

/**
 * @param pids - process ids by key
 * @param clock - waits
 * @param durationMs - how long to measure
 * @returns the usage of each process during that time
 */
export async function measureUsage (pids: Record<string, number>, clock: Clock, durationMs: number): Promise<Record<string, ProcessUsage>> {
  const measurement = await startUsageMeasurement(pids, clock)
  await sleep(clock, durationMs)
  return await measurement.finish()
}

/** @returns the content of the file; empty if the thread has ended since it was listed */
async function readThread (pid: number, thread: string, file: string): Promise<string> {
  return await readFile(`/proc/${pid}/task/${thread}/${file}`, 'utf8').catch(() => '')
}

/**
 * @param status - text of a `status` file
 * @param name - field
 * @returns its value, 0 when it is absent
 */
export function statusField (status: string, name: string): number {
  const match = new RegExp(`^${name}:\\s+(\\d+)`, 'm').exec(status)
  return match === null ? 0 : Number(match[1])
}
