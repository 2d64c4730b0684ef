/** Finds the account of a key. Keys are kept as digests, so that no dump of the process shows one. */
import { hash } from 'node:crypto'
import type { ClientAccount, ListedAccount } from './types'

/** The accounts of one version of the configuration. */
export interface AccountDirectory {
  /** @returns the account that holds the key of a digest */
  byDigest: (keyDigest: string) => ClientAccount | undefined
  byName: (name: string) => ClientAccount | undefined
  all: () => Iterable<ClientAccount>
  accountCount: number
  keyCount: number
  /** Names of accounts that list a key which another account lists too. Such a key is nobody's. */
  ambiguous: ReadonlySet<string>
}

/** Keys that are hashed in one go: about 2 ms of a slow host's processor. */
const KEYS_PER_TURN = 250

/**
 * @param key - as a caller sends it
 * @returns its digest
 */
export function digestKey (key: string): string {
  return hash('sha256', key, 'binary')
}

/**
 * Builds a directory in short turns, between which requests are served: all keys of tens of thousands of accounts take some
 * hundred milliseconds of a slow host's processor.
 *
 * @param listed - accounts with their keys
 * @param nextTurn - resolves when other work has had its turn
 * @returns the directory
 */
export async function buildAccountDirectory (listed: readonly ListedAccount[], nextTurn: () => Promise<void>): Promise<AccountDirectory> {
  const byDigest = new Map<string, ClientAccount>()
  const byName = new Map<string, ClientAccount>()
  const contested = new Set<string>()
  const ambiguous = new Set<string>()
  let hashed = 0
  const ranks = rankPriorities(listed)
  for (const { keys, priority, ...limits } of listed) {
    const account: ClientAccount = { ...limits, priorityRank: priority === undefined ? 0 : ranks.indexOf(priority) }
    byName.set(account.name, account)
    for (const key of keys) {
      const digest = digestKey(key)
      const holder = byDigest.get(digest)
      if (holder !== undefined && holder.name !== account.name) {
        contested.add(digest)
        ambiguous.add(holder.name).add(account.name)
      }
      byDigest.set(digest, account)
      hashed++
      if (hashed % KEYS_PER_TURN === 0) await nextTurn()
    }
  }
  for (const digest of contested) byDigest.delete(digest)
  return {
    byDigest: keyDigest => byDigest.get(keyDigest),
    byName: name => byName.get(name),
    all: () => byName.values(),
    accountCount: byName.size,
    keyCount: byDigest.size,
    ambiguous
  }
}

/** @returns the priorities that accounts have, the most urgent first */
function rankPriorities (listed: readonly ListedAccount[]): number[] {
  const priorities = listed.flatMap(({ priority }) => priority === undefined ? [] : [priority])
  return [...new Set(priorities)].sort((a, b) => a - b)
}
