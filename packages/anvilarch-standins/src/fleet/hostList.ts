/** Publishes the state of the fleet's daemons to the stand-in of the host list, as the platform would. */
import type { HostEntry } from 'anvilarch-protocol'
import { type Clock } from 'anvilarch-utils'
import type { FleetProcess } from './types'
import { callJson } from './waits'

/** Publishes the list of hosts. */
export interface HostListPublisher {
  set: (daemon: string, state: HostEntry['state'] | 'gone') => Promise<void>
  /** Records the exit of a daemon. Its host is removed from the list after a delay, as a lost host is. */
  recordExit: (process: FleetProcess) => void
  publish: () => Promise<void>
}

/**
 * @param url - address of the stand-in
 * @param processes - all processes of the fleet
 * @param options - clock, and the delay until a lost host is removed from the list
 * @returns the publisher; nothing is published yet
 */
export function createHostListPublisher (url: string, processes: FleetProcess[], options: { clock: Clock, hostLossMs: number }): HostListPublisher {
  const entries = new Map<string, HostEntry>()
  for (const { spec } of processes) {
    if (spec.hostEntry !== undefined) entries.set(spec.name, spec.hostEntry)
  }
  const states = new Map<string, HostEntry['state'] | 'gone'>()

  const publish = async (): Promise<void> => {
    const hosts = [...entries].flatMap(([name, entry]): HostEntry[] => {
      const state = states.get(name) ?? 'live'
      return state === 'gone' ? [] : [{ ...entry, state }]
    })
    await callJson('PUT', `${url}/hosts`, { hosts })
  }

  const set = async (daemon: string, state: HostEntry['state'] | 'gone'): Promise<void> => {
    states.set(daemon, state)
    await publish()
  }

  return {
    set,
    publish,
    recordExit: exitedProcess => {
      const { name } = exitedProcess.spec
      if (!entries.has(name)) return
      const { starts } = exitedProcess
      options.clock.after(options.hostLossMs, () => {
        if (exitedProcess.processId !== undefined || exitedProcess.starts !== starts) return
        set(name, 'gone').catch(() => {})
      })
    }
  }
}
