/** Determines from an error whether a message may have reached the peer. */

/** System errors of `connect`; no part of a message is sent before a connection is established. */
const CONNECT_ERRORS = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH'])

/** Properties that Node.js adds to the error of a failed system call. */
interface SystemError {
  code?: unknown
  syscall?: unknown
  cause?: unknown
}

/** Maximum depth to which causes are followed. */
const MAX_CAUSES = 5

/**
 * @param error - any value thrown by a client
 * @returns true only if the message certainly never left this process
 */
export function wasNeverSent (error: unknown): boolean {
  let cause = error as SystemError | null | undefined
  for (let depth = 0; depth < MAX_CAUSES && typeof cause === 'object' && cause !== null; depth++) {
    const { code, syscall } = cause
    if (syscall === 'connect' && typeof code === 'string' && CONNECT_ERRORS.has(code)) return true
    cause = cause.cause as SystemError | undefined
  }
  return false
}
