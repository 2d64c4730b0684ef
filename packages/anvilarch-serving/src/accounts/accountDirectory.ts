/** Finds the account of a key. Keys are stored as digests, so that a memory dump of the process contains none. */
import { hash } from 'node:crypto'
import type { ClientAccount, ListedAccount } from './types'

/** The accounts of one version of the configuration. */
export interface AccountDirectory {
  /** @returns the account of the key with this digest */
  byDigest: (keyDigest: string) => ClientAccount | undefined
  byName: (name: string) => ClientAccount | undefined
  all: () => Iterable<ClientAccount>
  accountCount: number
  /** Sum of the rate limits of all accounts that have one. */
  requestsPerSecond: number
  keyCount: number
  /** Names of accounts that list a key which another account lists too. Such a key belongs to no account. */
  ambiguous: ReadonlySet<string>
}

/** Keys hashed without interruption; takes about 2 ms of CPU time on a slow host. */
const KEYS_PER_CHUNK = 250

/**
 * @param key - as a caller sends it
 * @returns its digest
 */
export function digestKey (key: string): string {
  return hash('sha256', key, 'binary')
}

/**
 * Builds a directory in chunks, between which requests are served: hashing the keys of tens of thousands of accounts takes some
 * hundred milliseconds of CPU time on a slow host.
 *
 * @param listed - accounts with their keys
 * @param yieldToOtherWork - resolves after pending work of the event loop has run
 * @returns the directory
 */
export async function buildAccountDirectory (listed: readonly ListedAccount[], yieldToOtherWork: () => Promise<void>): Promise<AccountDirectory> {
  const byDigest = new Map<string, ClientAccount>()
  const byName = new Map<string, ClientAccount>()
  const sharedDigests = new Set<string>()
  const ambiguous = new Set<string>()
  let hashed = 0
  const ranks = rankPriorities(listed)
  for (const { keys, priority, ...limits } of listed) {
    const account: ClientAccount = { ...limits, priorityRank: priority === undefined ? 0 : ranks.indexOf(priority) }
    byName.set(account.name, account)
    for (const key of keys) {
      const digest = digestKey(key)
      const otherAccount = byDigest.get(digest)
      if (otherAccount !== undefined && otherAccount.name !== account.name) {
        sharedDigests.add(digest)
        ambiguous.add(otherAccount.name).add(account.name)
      }
      byDigest.set(digest, account)
      hashed++
      if (hashed % KEYS_PER_CHUNK === 0) await yieldToOtherWork()
    }
  }
  for (const digest of sharedDigests) byDigest.delete(digest)
  return {
    byDigest: keyDigest => byDigest.get(keyDigest),
    byName: name => byName.get(name),
    all: () => byName.values(),
    accountCount: byName.size,
    requestsPerSecond: [...byName.values()].reduce((sum, account) => sum + account.requestsPerSecond, 0),
    keyCount: byDigest.size,
    ambiguous
  }
}

/** @returns the distinct priorities of the accounts, the most urgent first */
function rankPriorities (listed: readonly ListedAccount[]): number[] {
  const priorities = listed.flatMap(({ priority }) => priority === undefined ? [] : [priority])
  return [...new Set(priorities)].sort((a, b) => a - b)
}
