/** Starts the components of a process in order and stops them in reverse order, each with a timeout. */
import { type Clock, sleep } from './clock'

/** A component of a process that must be started and stopped. */
export interface Component {
  name: string
  start?: () => Promise<void> | void
  /** Completes work in progress, then releases the component's resources. Called once. */
  stop?: () => Promise<void> | void
  /** Timeout of `stop`, after which the next component is stopped. */
  stopTimeoutMs?: number
}

/** Manages the components of one process. */
export interface LifecycleManager {
  /** Adds a component and starts it. Rejects once `stop` has been called, so that nothing starts beside the components that stop. */
  start: (component: Component) => Promise<void>
  /** Stops all components in reverse order; a second call waits for the first. */
  stop: () => Promise<void>
  /** Aborted as soon as `stop` is called. */
  signal: AbortSignal
}

/** Options of `createLifecycleManager`. */
export interface LifecycleOptions {
  clock: Clock
  /** Called for a component that failed to stop or exceeded its timeout. */
  onStopError?: (name: string, error: unknown) => void
}

/** Timeout of a component without a `stopTimeoutMs`. */
export const DEFAULT_STOP_TIMEOUT_MS = 10_000

/**
 * @param options - clock and error listener
 * @returns a manager without components
 */
export function createLifecycleManager (options: LifecycleOptions): LifecycleManager {
  const components: Component[] = []
  const controller = new AbortController()
  let stopping: Promise<void> | undefined

  const stopOne = async (component: Component): Promise<void> => {
    if (component.stop === undefined) return
    const timeoutMs = component.stopTimeoutMs ?? DEFAULT_STOP_TIMEOUT_MS
    const timeoutController = new AbortController()
    const timeout = sleep(options.clock, timeoutMs, timeoutController.signal).then(() => {
      if (!timeoutController.signal.aborted) throw new Error(`stop took longer than ${timeoutMs} ms`)
    })
    try {
      await Promise.race([Promise.resolve(component.stop()), timeout])
    } catch (error) {
      options.onStopError?.(component.name, error)
    } finally {
      timeoutController.abort()
      timeout.catch(() => {})
    }
  }

  const stopAll = async (): Promise<void> => {
    controller.abort()
    for (const component of [...components].reverse()) await stopOne(component)
  }

  return {
    start: async component => {
      if (controller.signal.aborted) throw new Error(`"${component.name}" was not started, since the process is stopping`)
      components.push(component)
      await component.start?.()
    },
    stop: async () => {
      stopping ??= stopAll()
      await stopping
    },
    signal: controller.signal
  }
}
