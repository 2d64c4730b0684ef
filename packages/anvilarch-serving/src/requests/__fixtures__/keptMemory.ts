/** Memory that this process keeps after garbage collection. */
import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

/** Heap limit of each daemon, as the deploy file states it. */
export const HEAP_LIMIT_BYTES = heapLimitBytes()

/** @returns bytes in use after garbage collection, on the heap and outside */
export function keptBytes (): number {
  // The memory of buffers that the first collection frees is released beside it, and counted as in use until the second one begins.
  collectGarbage()
  collectGarbage()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

/** Measures at steps how much more memory is kept than at the start. */
export interface MemoryMeter {
  /** Measures if the counter has advanced by a step since the last measurement. */
  onProgress: (counter: number) => void
  mostBytes: () => number
}

/**
 * @param step - advance of the counter between measurements
 * @returns a meter that starts now
 */
export function createMemoryMeter (step: number): MemoryMeter {
  const startBytes = keptBytes()
  let measuredAt = 0
  let mostBytes = 0
  return {
    onProgress: counter => {
      if (counter - measuredAt < step) return
      measuredAt = counter
      mostBytes = Math.max(mostBytes, keptBytes() - startBytes)
    },
    mostBytes: () => mostBytes
  }
}

function heapLimitBytes (): number {
  const deployFile = readFileSync(join(__dirname, '../../../../../deploy/system.toml'), 'utf8')
  const limits = [...deployFile.matchAll(/--max-old-space-size=(\d+)/g)].map(([, megabytes]) => Number(megabytes))
  return Math.min(...limits) * 1024 * 1024
}
