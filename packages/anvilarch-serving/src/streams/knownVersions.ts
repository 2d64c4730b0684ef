/** Determines whether a service is known for certain to have had a single software version while any stream lasted. */
import type { Clock } from 'anvilarch-utils'
import { shareReads } from './shareReads'
import { MAX_FRESH_LIST_AGE_MS, type VersionHistory } from './versionHistory'
import type { VersionRows } from './versionRows'

/** Versions as known to this gateway. */
export interface KnownVersions {
  /** @returns whether a second version of the service is known, or may have been listed before the first or since the last update of the list */
  mayBeSeveral: (service: string) => boolean
  /**
   * Reads what is missing from the store.
   *
   * @returns the version of each service that has endpoints; undefined unless it is certain that each service has had one only
   */
  singleVersions: (services: readonly string[]) => Promise<ReadonlyMap<string, string> | undefined>
}

/** Options of `createKnownVersions`. */
export interface KnownVersionsOptions {
  clock: Clock
  history: VersionHistory
  rows: VersionRows
  retentionMs: () => number
  /** @returns time since the store made the last response about the list of endpoints, in milliseconds; `Infinity` before the first listing */
  listAgeMs: () => number
  /** @returns local time since which the list has been followed without a gap; undefined before the first listing */
  followedSinceMs: () => number | undefined
  /** @returns whether the feed of the list is overdue */
  isFeedOverdue: () => boolean
  /** Reads the list of endpoints into the history. @returns whether the store has responded */
  readList: () => Promise<boolean>
}

/**
 * @param options - history, list of endpoints and store
 * @returns the known versions
 */
export function createKnownVersions (options: KnownVersionsOptions): KnownVersions {
  const { clock, history } = options
  const readList = shareReads(clock, options.readList)

  const hasSeveral = (service: string): boolean => history.recent(service).length > 1

  const isListFresh = (): boolean => options.listAgeMs() <= MAX_FRESH_LIST_AGE_MS

  /** Versions that were listed before a start or a gap are only in the rows of the store, until they no longer matter. */
  const isHistoryComplete = (service: string): boolean => {
    const sinceMs = options.followedSinceMs() ?? Infinity
    if (clock.nowMs() - sinceMs > options.retentionMs()) return true
    return options.rows.loadedAtMs() >= sinceMs && options.rows.coversRetention(service)
  }

  /** The list tells which versions are listed, the rows those that were listed and removed since the last update of the list. */
  const replaceOldList = async (services: readonly string[]): Promise<boolean> => {
    const [listRead, rowsRead] = await Promise.all([readList(), options.rows.load()])
    return listRead && rowsRead && services.every(isHistoryComplete) && services.every(options.rows.coversRetention)
  }

  const isCertain = async (services: readonly string[]): Promise<boolean> => {
    if (!isListFresh()) return await replaceOldList(services)
    return services.every(isHistoryComplete) || (await options.rows.load() && services.every(isHistoryComplete))
  }

  return {
    mayBeSeveral: service => hasSeveral(service) || options.isFeedOverdue() || !isHistoryComplete(service),
    singleVersions: async services => {
      if (services.some(hasSeveral) || !await isCertain(services) || services.some(hasSeveral)) return undefined
      return new Map(services.flatMap(service => history.recent(service).map(version => [service, version])))
    }
  }
}
