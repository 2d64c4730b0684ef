/** Looks up the account of a caller by its key. */
import { createHash } from 'node:crypto'
import type { CallerLimits, ConfigurationDocument } from 'anvilarch-configuration'

/** Name of callers that send no key. */
export const ANONYMOUS = 'anonymous'

/** Number of hash digits in the name of a caller that is not in the document. */
const SHORT_HASH_DIGITS = 12

/** An account with its limits. */
export interface Account {
  name: string
  limits: CallerLimits
}

const indexes = new WeakMap<ConfigurationDocument, Map<string, string>>()

/**
 * @param document - the configuration in force
 * @param key - the caller's key, or undefined if it sent none
 * @returns the account
 */
export function findAccount (document: ConfigurationDocument, key: string | undefined): Account {
  if (key === undefined) return { name: ANONYMOUS, limits: document.callers[ANONYMOUS] ?? document.defaultCaller }
  const hash = createHash('sha256').update(key).digest('hex')
  const name = accountIndexOf(document).get(hash)
  if (name !== undefined) return { name, limits: document.callers[name] }
  return { name: `key-${hash.slice(0, SHORT_HASH_DIGITS)}`, limits: document.defaultCaller }
}

/** Indexes a document once: it may contain 37,000 accounts, too many to search at each request. */
function accountIndexOf (document: ConfigurationDocument): Map<string, string> {
  let index = indexes.get(document)
  if (index === undefined) {
    index = new Map()
    for (const [name, limits] of Object.entries(document.callers)) {
      if (limits.keySha256 !== undefined) index.set(limits.keySha256.toLowerCase(), name)
    }
    indexes.set(document, index)
  }
  return index
}
