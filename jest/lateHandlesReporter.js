/**
 * Says what keeps a finished run of the tests from ending, and ends it.
 *
 * A test file that runs alone runs in the process of the runner. A socket or server that a test has left open keeps that process
 * for ever, without a word on which one it is.
 */

/** Time after the last test in which a run has to end by itself. */
const END_GRACE_MS = 20_000

const EXIT_CODE = 1

/**
 * @param {object} handle - of a diagnostic report of Node.js
 * @returns {string} what it is, and its addresses where it has some
 */
function describeHandle ({ type, localEndpoint, remoteEndpoint, firesInMsFromNow }) {
  const addressOf = endpoint => endpoint === undefined || endpoint === null ? '' : ` ${endpoint.host ?? endpoint.ip4 ?? ''}:${endpoint.port}`
  const timing = firesInMsFromNow === undefined ? '' : ` fires in ${Math.round(firesInMsFromNow)} ms`
  return `${type}${addressOf(localEndpoint)}${addressOf(remoteEndpoint)}${timing}`
}

/**
 * @param {object} report - diagnostic report of Node.js
 * @returns {string[]} a line for each handle that keeps the process
 */
function keepingHandles (report) {
  return report.libuv.filter(handle => handle.is_active && handle.is_referenced && handle.type !== 'loop').map(describeHandle)
}

class LateHandlesReporter {
  onRunComplete () {
    setTimeout(() => {
      const lines = keepingHandles(process.report.getReport())
      process.stderr.write(`The tests are over, but ${lines.length} handles keep the process:\n${lines.map(line => `  ${line}\n`).join('')}`)
      process.exit(EXIT_CODE)
    }, END_GRACE_MS).unref()
  }
}

module.exports = LateHandlesReporter
module.exports.keepingHandles = keepingHandles
