/** Combines the items that are added in one turn of the event loop, or while the transport is busy, into one message. */

/** Collects items into batches, each of which is sent as one message. */
export interface MessageBatcher<Item> {
  put: (item: Item) => void
  /** Ends `batches`; items that were not yet returned are discarded. */
  close: () => void
  /** @returns batches of items in the order in which they were added; never an empty batch */
  batches: () => AsyncGenerator<Item[]>
}

/** @returns an empty batcher */
export function createMessageBatcher<Item> (): MessageBatcher<Item> {
  let items: Item[] = []
  let closed = false
  let wake: () => void = () => {}
  const isClosed = (): boolean => closed

  return {
    put: item => {
      items.push(item)
      wake()
    },
    close: () => {
      closed = true
      wake()
    },
    batches: async function * () {
      while (!isClosed()) {
        if (items.length === 0) await new Promise<void>(resolve => { wake = resolve })
        await new Promise<void>(resolve => { setImmediate(resolve) })
        const batch = items
        items = []
        if (batch.length > 0) yield batch
      }
    }
  }
}
