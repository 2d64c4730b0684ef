/** A client of the store whose calls are repeated through a peer when the store is silent. */
import type { MetadataStore } from './types'

/**
 * For work whose calls may be executed twice: reads, transactions under conditions, and objects that are written only once.
 *
 * @param store - client of the store
 * @param repeatWithinMs - time that each call has
 * @returns the same client, with repeats
 */
export function withRepeats (store: MetadataStore, repeatWithinMs: number): MetadataStore {
  const options = { repeatWithinMs }
  return {
    ...store,
    commit: transaction => store.commit(transaction, options),
    readRows: range => store.readRows(range, options),
    writeObject: (name, bytes) => store.writeObject(name, bytes, options)
  }
}
