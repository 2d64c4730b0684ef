/** Reads what this process may use from the runtime and the system. */
import { readFileSync } from 'node:fs'
import { totalmem } from 'node:os'
import { getHeapStatistics } from 'node:v8'
import type { ProcessResources } from './processLimits'

/** Soft limit of most systems. */
const DEFAULT_DESCRIPTORS = 1024

/**
 * @param stated - what the settings state; the rest is read from the system
 * @returns what this process may use
 */
export function readResources ({ memoryBytes, descriptors }: { memoryBytes?: number, descriptors?: number }): ProcessResources {
  return {
    memoryBytes: memoryBytes ?? readMemoryBytes(),
    heapBytes: getHeapStatistics().heap_size_limit,
    descriptors: descriptors ?? readDescriptors()
  }
}

/** @returns memory of the control group of this process, or of the machine if that is less */
function readMemoryBytes (): number {
  const groupBytes = process.constrainedMemory()
  return groupBytes > 0 ? Math.min(groupBytes, totalmem()) : totalmem()
}

function readDescriptors (): number {
  try {
    const softLimit = /^Max open files\s+(\d+)/m.exec(readFileSync('/proc/self/limits', 'utf8'))?.[1]
    return softLimit === undefined ? DEFAULT_DESCRIPTORS : Number(softLimit)
  } catch {
    // Other systems have no such file.
    return DEFAULT_DESCRIPTORS
  }
}
