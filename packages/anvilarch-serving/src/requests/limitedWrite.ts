/** Limits the bytes of a response that its client has not read yet, since they are in the memory of this process. */
import type { ServerResponse } from 'node:http'
import type { ByteBudget } from './byteBudget'

/** Size limit for one response: twice that of an event. */
const MAX_UNREAD_BYTES = 8 * 1024 * 1024

/**
 * @param response - response to the client
 * @param budget - shared by all requests of this process
 * @param onExceeded - called after a write whose unread bytes exceed a limit
 * @returns writes to the response
 */
export function createLimitedWrite (response: ServerResponse, budget: ByteBudget, onExceeded: () => void): (bytes: Buffer) => void {
  let takenBytes: number | undefined
  const setTaken = (bytes: number): boolean => {
    const addedBytes = bytes - (takenBytes ?? 0)
    if (addedBytes > 0 && !budget.tryTake(addedBytes)) return false
    if (addedBytes < 0) budget.release(-addedBytes)
    takenBytes = bytes
    return true
  }
  return bytes => {
    response.write(bytes)
    if (!response.writableNeedDrain) return
    if (takenBytes === undefined) {
      response.on('drain', () => setTaken(0))
      response.once('close', () => setTaken(0))
    }
    if (response.writableLength > MAX_UNREAD_BYTES || !setTaken(response.writableLength)) onExceeded()
  }
}
