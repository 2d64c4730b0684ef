/** Work classes. Each has its own connections, queues and metrics. */

/** Work classes, in descending order of priority. */
export const WORK_CLASSES = ['lookup', 'online', 'batch'] as const

/** A work class. */
export type WorkClass = typeof WORK_CLASSES[number]
