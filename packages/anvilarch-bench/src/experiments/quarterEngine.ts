/** Engine options of experiments that measure policies. */
import type { EngineOptions } from 'anvilarch-standins'

/**
 * A quarter of the default engine of the stand-in: a quarter of the slots, each of which lengthens the step by four times as
 * much. Step times are those of the full engine, while the rate of tokens is so low that the CPUs of the host, which the
 * daemons, the stand-ins and the bench share, are not the bottleneck.
 */
export const QUARTER_ENGINE: Partial<EngineOptions> & { slots: number } = { slots: 8, perSequenceMs: 0.8 }
