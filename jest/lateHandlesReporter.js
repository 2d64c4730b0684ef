/**
 * Reporter that prints the handles that keep the process alive after a test run, and exits the process.
 *
 * A single test file runs in the process of the runner. A socket or server that a test has not closed keeps that process alive
 * forever, and the runner does not report which one it is.
 */

/** Time within which the process has to exit by itself after the last test. */
const END_GRACE_MS = 20_000

const EXIT_CODE = 1

/**
 * @param {object} handle - of a diagnostic report of Node.js
 * @returns {string} its type, its addresses and its remaining time, as far as it has them
 */
function describeHandle ({ type, localEndpoint, remoteEndpoint, firesInMsFromNow }) {
  const addressOf = endpoint => endpoint === undefined || endpoint === null ? '' : ` ${endpoint.host ?? endpoint.ip4 ?? ''}:${endpoint.port}`
  const timing = firesInMsFromNow === undefined ? '' : ` fires in ${Math.round(firesInMsFromNow)} ms`
  return `${type}${addressOf(localEndpoint)}${addressOf(remoteEndpoint)}${timing}`
}

/**
 * @param {object} report - diagnostic report of Node.js
 * @returns {string[]} one line for each handle that keeps the process alive
 */
function keepingHandles (report) {
  return report.libuv.filter(handle => handle.is_active && handle.is_referenced && handle.type !== 'loop').map(describeHandle)
}

class LateHandlesReporter {
  onRunComplete () {
    setTimeout(() => {
      const lines = keepingHandles(process.report.getReport())
      process.stderr.write(`The tests have ended, but ${lines.length} handles keep the process alive:\n${lines.map(line => `  ${line}\n`).join('')}`)
      process.exit(EXIT_CODE)
    }, END_GRACE_MS).unref()
  }
}

module.exports = LateHandlesReporter
module.exports.keepingHandles = keepingHandles
