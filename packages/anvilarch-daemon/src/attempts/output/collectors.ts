/** Creates the output collector for the output mode of a request. */
import type { OutputMode, WorkSink } from '../types'
import { createRawCollector } from './rawCollector'
import { createStreamCollector } from './streamCollector'
import type { OutputCollector } from './types'
import { createWholeCollector } from './wholeCollector'

const COLLECTORS: Record<OutputMode, (sink: WorkSink) => OutputCollector> = {
  stream: createStreamCollector,
  raw: createRawCollector,
  whole: createWholeCollector
}

/**
 * @param mode - form of the response
 * @param sink - receives the response as it arrives; without a sink it is buffered until complete
 * @returns an empty collector
 */
export function createCollector (mode: OutputMode, sink: WorkSink | undefined): OutputCollector {
  return sink === undefined ? createWholeCollector() : COLLECTORS[mode](sink)
}
