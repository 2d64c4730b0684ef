/** Headers that concern one connection only and are not passed on. */
const HOP_BY_HOP = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'expect', 'content-length'
])

/**
 * @param rawHeaders - names and values in turn
 * @param replaced - lower-case names of headers that the sender sets itself
 * @returns the headers that are passed on, in order; the length is left to the sender
 */
export function forwardedHeaders (rawHeaders: readonly string[], replaced: ReadonlySet<string>): string[] {
  const named = namedByConnection(rawHeaders)
  const forwarded: string[] = []
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index].toLowerCase()
    if (HOP_BY_HOP.has(name) || named.has(name) || replaced.has(name)) continue
    forwarded.push(rawHeaders[index], rawHeaders[index + 1])
  }
  return forwarded
}

/** A `Connection` header may name further headers of that connection. */
function namedByConnection (rawHeaders: readonly string[]): Set<string> {
  const named = new Set<string>()
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index].toLowerCase() !== 'connection') continue
    for (const name of rawHeaders[index + 1].split(',')) named.add(name.trim().toLowerCase())
  }
  return named
}
