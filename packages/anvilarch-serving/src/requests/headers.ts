/** Headers that are not forwarded: they concern a single connection, or the sender sets them itself. */
const NOT_FORWARDED = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'expect', 'content-length'
])

/**
 * @param rawHeaders - alternating names and values
 * @param replaced - lower-case names of headers that the sender sets itself
 * @returns the headers to forward, in order and without the content length, which the sender sets
 */
export function forwardedHeaders (rawHeaders: readonly string[], replaced: ReadonlySet<string>): string[] {
  const connectionHeaders = listedInConnection(rawHeaders)
  const forwarded: string[] = []
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index].toLowerCase()
    if (NOT_FORWARDED.has(name) || connectionHeaders.has(name) || replaced.has(name)) continue
    forwarded.push(rawHeaders[index], rawHeaders[index + 1])
  }
  return forwarded
}

/** @returns the lower-case names of further hop-by-hop headers that `Connection` headers list */
function listedInConnection (rawHeaders: readonly string[]): Set<string> {
  const connectionHeaders = new Set<string>()
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index].toLowerCase() !== 'connection') continue
    for (const name of rawHeaders[index + 1].split(',')) connectionHeaders.add(name.trim().toLowerCase())
  }
  return connectionHeaders
}
