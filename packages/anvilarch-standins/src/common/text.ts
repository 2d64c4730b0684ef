/** Deterministic text, generated from the hash of a request, so that any reader can check a response completely. */

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

const WORDS = [
  'account', 'agent', 'approve', 'archive', 'audit', 'balance', 'branch', 'cedar', 'claim', 'client', 'code', 'contact',
  'county', 'date', 'deliver', 'domain', 'draft', 'entry', 'expire', 'field', 'file', 'form', 'grain', 'harbor', 'hold',
  'index', 'invoice', 'item', 'keyword', 'label', 'letter', 'lookup', 'market', 'member', 'month', 'name', 'notice',
  'office', 'order', 'owner', 'page', 'paper', 'partner', 'permit', 'policy', 'price', 'query', 'quote', 'record',
  'region', 'registrar', 'renew', 'reply', 'report', 'review', 'river', 'shop', 'status', 'store', 'street', 'trader',
  'transfer', 'valley', 'zone'
]

/**
 * @param text - text to hash
 * @param seed - hash to continue from
 * @returns a 32-bit FNV-1a hash
 */
export function hashText (text: string, seed = FNV_OFFSET): number {
  let hash = seed
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  }
  return hash >>> 0
}

/**
 * @param hash - hash of the request's text
 * @param index - position of the word
 * @returns the word, with a space before all but the first
 */
export function wordAt (hash: number, index: number): string {
  let mixed = Math.imul(hash ^ Math.imul(index + 1, 0x9e3779b1), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  const word = WORDS[(mixed >>> 16) % WORDS.length]
  return index === 0 ? word : ` ${word}`
}
