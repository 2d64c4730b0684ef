/**
 * @param action - frees what cannot be freed twice
 * @returns a function that runs the action on its first call and waits for it on each
 */
export function once (action: () => Promise<void>): () => Promise<void> {
  let running: Promise<void> | undefined
  return () => {
    running ??= action()
    return running
  }
}
