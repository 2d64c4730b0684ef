/** A message queue with a handler that processes one message at a time. */

/** A queue of messages for one handler. */
export interface Mailbox<Message> {
  /**
   * Queues a message.
   *
   * @returns false if the mailbox is full or closed and the message was rejected
   */
  send: (message: Message) => boolean
  /** @returns the number of queued messages */
  size: () => number
  /** Rejects further messages; resolves when the queued ones are handled. */
  close: () => Promise<void>
}

/** Options of `createMailbox`. */
export interface MailboxOptions<Message> {
  /** Maximum number of queued messages; more are rejected. */
  capacity: number
  handle: (message: Message) => Promise<void> | void
  /** Called for a message whose handler failed. Processing continues with the next message. */
  onError: (error: unknown, message: Message) => void
}

/**
 * @param options - capacity, handler and error listener
 * @returns an empty mailbox
 */
export function createMailbox<Message> (options: MailboxOptions<Message>): Mailbox<Message> {
  const queue: Message[] = []
  let running: Promise<void> | undefined
  let closed = false

  const drain = async (): Promise<void> => {
    for (let message = queue.shift(); message !== undefined; message = queue.shift()) {
      try {
        await options.handle(message)
      } catch (error) {
        options.onError(error, message)
      }
    }
    running = undefined
  }

  return {
    send: message => {
      if (closed || queue.length >= options.capacity) return false
      queue.push(message)
      running ??= Promise.resolve().then(drain)
      return true
    },
    size: () => queue.length,
    close: async () => {
      closed = true
      await running
    }
  }
}
