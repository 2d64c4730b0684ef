/**
 * Makes an action safe to call repeatedly.
 *
 * @param action - runs at most once, such as freeing resources
 * @returns a function that runs the action on its first call; every call returns the promise of that run
 */
export function once (action: () => Promise<void>): () => Promise<void> {
  let running: Promise<void> | undefined
  return () => {
    running ??= action()
    return running
  }
}
