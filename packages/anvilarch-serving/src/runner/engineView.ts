/** State of the local engine as observed by its agent: which start is running, and whether the store lists that start. */
import { type Endpoint, startIdOf } from '../model/types'
import type { EngineReport } from '../roles/types'
import type { EventLog } from '../telemetry/events'

/** The local engine of an agent. */
export interface EngineView {
  /** Updates the view after a poll; the report is undefined if the engine did not respond. @returns the same as `current` */
  update: (report: EngineReport | undefined) => Endpoint | undefined
  /** @returns the engine as it is listed; undefined while the running start is not the one that is listed */
  current: () => Endpoint | undefined
}

/** Options of `createEngineView`. */
export interface EngineViewOptions {
  log: EventLog
  /** @returns the endpoint that the store lists at the engine's address */
  listed: () => Endpoint | undefined
  /** Called when the engine has restarted. */
  onRestart: () => void
}

/**
 * A restarted engine may have the same id as before, so that the entry of its previous start still matches by id until the first
 * heartbeat replaces it. The listed state of the previous start (accepting requests, or draining) does not apply to the new one:
 * nothing is sent to the new start before it is listed itself.
 *
 * @param options - list and listener
 * @returns a view before the first poll
 */
export function createEngineView (options: EngineViewOptions): EngineView {
  let reportedBornAtMs: number | undefined
  let lastStartId: string | undefined
  let lastService: string | undefined

  const current = (): Endpoint | undefined => {
    const listed = options.listed()
    if (listed === undefined || reportedBornAtMs === undefined || listed.bornAtMs === undefined) return listed
    return listed.bornAtMs === reportedBornAtMs ? listed : undefined
  }

  const recordService = ({ startId, service }: Endpoint): void => {
    if (lastService !== undefined && service !== lastService) {
      options.log.warn('engine serves another service', { endpoint: startId, service, formerService: lastService })
    }
    lastService = service
  }

  const recordStart = (startId: string, bornAtMs: number | undefined): void => {
    if (startId === lastStartId) return
    const first = lastStartId === undefined
    lastStartId = startId
    if (first) return
    if (bornAtMs !== undefined) options.log.info('engine started anew', { endpoint: startId, bornAtMs })
    options.onRestart()
  }

  return {
    update: report => {
      if (report?.bornAtMs !== undefined) reportedBornAtMs = report.bornAtMs
      const listed = options.listed()
      if (listed !== undefined) {
        recordService(listed)
        recordStart(startIdOf(listed.id, reportedBornAtMs ?? listed.bornAtMs), reportedBornAtMs ?? listed.bornAtMs)
      }
      return current()
    },
    current
  }
}
