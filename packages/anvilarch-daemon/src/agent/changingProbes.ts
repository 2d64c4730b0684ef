/** Probes endpoints more often while they start or load a model, since requests or orders wait for them. */
import type { DaemonContext } from '../context'
import type { EndpointTask } from './endpointTask'
import type { AgentOptions } from './options'
import { createTick, type Tick } from './tick'

/**
 * @param context - clock and logger
 * @param tasks - the endpoints by name
 * @param options - the period, and how long an endpoint is probed at it
 * @returns a tick that stops once no endpoint has started to change within `changingMs`
 */
export function createChangingProbes (
  context: Pick<DaemonContext, 'clock' | 'logger'>,
  tasks: ReadonlyMap<string, Pick<EndpointTask, 'health' | 'refresh'>>,
  options: Pick<AgentOptions, 'changingProbeIntervalMs' | 'changingMs'>
): Tick {
  const { clock, logger } = context
  const sinceMs = new Map<string, number>()

  const isDue = (endpoint: string, { health }: Pick<EndpointTask, 'health'>): boolean => {
    if (health.state() === 'ready' && !health.models().some(loaded => loaded.state === 'loading')) {
      sinceMs.delete(endpoint)
      return false
    }
    const startMs = sinceMs.get(endpoint) ?? clock.nowMs()
    sinceMs.set(endpoint, startMs)
    return clock.nowMs() - startMs < options.changingMs
  }

  return createTick(clock, options.changingProbeIntervalMs, () => {
    const due = [...tasks].filter(([endpoint, task]) => isDue(endpoint, task))
    for (const [endpoint, task] of due) {
      task.refresh().catch(error => { logger.warn('an endpoint could not be asked for its state', { endpoint, error: String(error) }) })
    }
    return due.length > 0
  })
}
