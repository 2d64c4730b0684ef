/** Combines the items that are added in one turn of the event loop into one message of a stream. */

/** Collects items into batches, each of which is sent as one message. */
export interface MessageBatcher<Item> {
  put: (item: Item) => void
  /** Ends `batches` after the queued items. */
  close: () => void
  /** @returns batches of items; to be iterated once */
  batches: () => AsyncGenerator<Item[]>
}

/** @returns an empty batcher */
export function createMessageBatcher<Item> (): MessageBatcher<Item> {
  let items: Item[] = []
  let closed = false
  let wake: () => void = () => {}
  return {
    put: item => {
      items.push(item)
      if (items.length === 1) setImmediate(() => { wake() })
    },
    close: () => {
      closed = true
      wake()
    },
    batches: async function * () {
      while (true) {
        if (items.length === 0) {
          if (closed) return
          await new Promise<void>(resolve => { wake = resolve })
          continue
        }
        const batch = items
        items = []
        yield batch
      }
    }
  }
}
