/** Tracks which software versions of each service are listed, and which were until recently. Free of I/O. */
import type { Clock } from 'anvilarch-utils'
import type { Endpoint } from '../model/types'

/** Software versions by service. */
export interface VersionHistory {
  /** Records that an endpoint is listed. `isSettled`: its version may have been listed for long. */
  onListed: (endpoint: Endpoint, isSettled: boolean) => void
  onUnlisted: (endpoint: Endpoint) => void
  /** Adds versions that other gateways have listed and that may have been listed until now. */
  onReported: (service: string, softwareVersions: readonly string[]) => void
  /** @returns the versions that are listed */
  listed: (service: string) => string[]
  /** @returns the versions that were listed at some time within the retention */
  recent: (service: string) => string[]
  /** Makes versions settle only once they are recorded. */
  requireRecords: (isRecorded: (service: string, softwareVersion: string) => boolean) => void
  /** @returns whether all gateways with a fresh list have listed the version, and it is recorded, so that new streams may begin at it */
  isSettled: (service: string, softwareVersion: string) => boolean
  /** @returns time until the last version of the service may be settled, in milliseconds; 0 if all are */
  settlesInMs: (service: string) => number
  /** Calls the listener with the service after a version was listed for the first time, or is no longer listed. */
  onChange: (listener: (service: string) => void) => void
}

/** A list of endpoints is fresh, and complete as far as versions matter, up to this age. */
export const MAX_FRESH_LIST_AGE_MS = 1000

/** Time from the first listing of a version until new streams begin at it: the age of a fresh list, and some delay of its feed. */
export const SETTLING_MS = MAX_FRESH_LIST_AGE_MS + 200

/** A version that is not recorded yet may be recorded at any time, so its state is looked at again after this long. */
const RECORD_CHECK_MS = 50

interface VersionState {
  listedCount: number
  settledAtMs: number
  /** Meaningful while the count is 0. */
  lastListedAtMs: number
}

/**
 * @param clock - local clock
 * @param retentionMs - returns how long a version counts as recent after it was last listed
 * @returns a history without versions
 */
export function createVersionHistory (clock: Clock, retentionMs: () => number): VersionHistory {
  const services = new Map<string, Map<string, VersionState>>()
  const listeners: Array<(service: string) => void> = []
  let isRecorded = (_service: string, _softwareVersion: string): boolean => true

  const versionsOf = (service: string): Map<string, VersionState> => {
    const known = services.get(service)
    if (known !== undefined) return known
    const created = new Map<string, VersionState>()
    services.set(service, created)
    return created
  }

  const removeExpired = (versions: Map<string, VersionState>): void => {
    const nowMs = clock.nowMs()
    for (const [version, state] of versions) {
      if (state.listedCount === 0 && nowMs - state.lastListedAtMs > retentionMs()) versions.delete(version)
    }
  }

  const notify = (service: string): void => listeners.forEach(listener => listener(service))

  return {
    onListed: ({ service, softwareVersion }, isSettled) => {
      const versions = versionsOf(service)
      removeExpired(versions)
      const state = versions.get(softwareVersion) ?? { listedCount: 0, settledAtMs: isSettled ? -Infinity : clock.nowMs() + SETTLING_MS, lastListedAtMs: -Infinity }
      versions.set(softwareVersion, state)
      state.listedCount++
      if (state.listedCount === 1) notify(service)
    },
    onUnlisted: ({ service, softwareVersion }) => {
      const state = versionsOf(service).get(softwareVersion)
      if (state === undefined || state.listedCount === 0) return
      state.listedCount--
      state.lastListedAtMs = clock.nowMs()
      if (state.listedCount === 0) notify(service)
    },
    onReported: (service, softwareVersions) => {
      const versions = versionsOf(service)
      for (const version of softwareVersions) {
        const state = versions.get(version) ?? { listedCount: 0, settledAtMs: clock.nowMs() + SETTLING_MS, lastListedAtMs: -Infinity }
        state.lastListedAtMs = clock.nowMs()
        versions.set(version, state)
      }
    },
    listed: service => [...versionsOf(service)].filter(([, state]) => state.listedCount > 0).map(([version]) => version),
    recent: service => {
      const versions = versionsOf(service)
      // Usually a service has one version, and nothing can have expired.
      if (versions.size > 1) removeExpired(versions)
      return [...versions.keys()]
    },
    requireRecords: check => { isRecorded = check },
    isSettled: (service, softwareVersion) => (versionsOf(service).get(softwareVersion)?.settledAtMs ?? Infinity) <= clock.nowMs() && isRecorded(service, softwareVersion),
    settlesInMs: service => {
      const listed = [...versionsOf(service)].filter(([, state]) => state.listedCount > 0)
      const settledAtMs = Math.max(-Infinity, ...[...versionsOf(service).values()].map(state => state.settledAtMs))
      const waitsForRecord = listed.some(([version]) => !isRecorded(service, version))
      return Math.max(0, settledAtMs - clock.nowMs(), waitsForRecord ? RECORD_CHECK_MS : 0)
    },
    onChange: listener => { listeners.push(listener) }
  }
}
