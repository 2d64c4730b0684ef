/** `node jest/checkResults.js RESULTS`: decides whether a test run is accepted, and prints the known failures that it excuses. */
const { readFileSync } = require('node:fs')
const { join, resolve } = require('node:path')
const { evaluateRun } = require('./knownRed')

const ROOT = resolve(__dirname, '..')

const results = JSON.parse(readFileSync(process.argv[2], 'utf8'))
const list = readFileSync(join(ROOT, 'KNOWN-RED.txt'), 'utf8')
const { passed, excused, unknownFailures, isAccepted } = evaluateRun(results, list, ROOT)
for (const { name, status } of excused) console.log(`known red (${status} in this run): ${name}`)
for (const name of unknownFailures) console.log(`failed: ${name}`)
console.log(`${passed} passed, ${unknownFailures.length} failed`)
if (!isAccepted) {
  console.log('The run is not accepted: fix the failed tests. Failures that can\'t be fixed now are listed in KNOWN-RED.txt, see CONTRIBUTING.md.')
  process.exitCode = 1
}
