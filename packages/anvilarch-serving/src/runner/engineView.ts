/** What an agent believes of the engine beside it: which start it is, and whether the store lists that start. */
import { type Endpoint, startIdOf } from '../model/types'
import type { EngineReport } from '../roles/types'
import type { EventLog } from '../telemetry/events'

/** The engine beside an agent. */
export interface EngineView {
  /** Takes a look at the engine into account. @returns the same as `current` */
  update: (report: EngineReport | undefined) => Endpoint | undefined
  /** @returns the engine as it is listed; undefined while the start that answers is not the one that is listed */
  current: () => Endpoint | undefined
}

/** Options of `createEngineView`. */
export interface EngineViewOptions {
  log: EventLog
  /** @returns what the store lists at the engine's address */
  listed: () => Endpoint | undefined
  /** Called when another start of the engine has been seen than before. */
  onRestart: () => void
}

/**
 * An engine that starts again may bear the id that it had, so that the entry of its former start still fits by name, until
 * the first heartbeat replaces it. What was listed of the former start (that it takes requests, or that it leaves) does not
 * hold for the new one: nothing is sent to it before it is listed itself.
 *
 * @param options - list and listener
 * @returns a view that has seen nothing
 */
export function createEngineView (options: EngineViewOptions): EngineView {
  let answeringBornAtMs: number | undefined
  let seenStartId: string | undefined

  const current = (): Endpoint | undefined => {
    const listed = options.listed()
    if (listed === undefined || answeringBornAtMs === undefined || listed.bornAtMs === undefined) return listed
    return listed.bornAtMs === answeringBornAtMs ? listed : undefined
  }

  const noteStart = (startId: string, bornAtMs: number | undefined): void => {
    if (startId === seenStartId) return
    const first = seenStartId === undefined
    seenStartId = startId
    if (first) return
    if (bornAtMs !== undefined) options.log.info('engine started anew', { endpoint: startId, bornAtMs })
    options.onRestart()
  }

  return {
    update: report => {
      if (report?.bornAtMs !== undefined) answeringBornAtMs = report.bornAtMs
      const listed = options.listed()
      if (listed !== undefined) noteStart(startIdOf(listed.id, answeringBornAtMs ?? listed.bornAtMs), answeringBornAtMs ?? listed.bornAtMs)
      return current()
    },
    current
  }
}
