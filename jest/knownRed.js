/**
 * Compares the failed tests of a run with the list of known failures.
 *
 * An entry is a line of fields separated by ` | `. The first field is the name of a test, `path > describe > title`, exactly as
 * the test runner reports it. An entry whose first field is not such a name (a soak, a file that did not end) excuses no failure.
 */

/** Separates the path, the names of the blocks and the title of a test. */
const NAME_SEPARATOR = ' > '

/**
 * @param {string} list - text of the list
 * @returns {Set<string>} the tests that may fail
 */
function knownTests (list) {
  const names = list.split('\n').map(line => line.split(' | ')[0].trim())
  return new Set(names.filter(name => name.includes('.test.ts' + NAME_SEPARATOR)))
}

/**
 * @param {object} results - what the test runner writes with `--json`
 * @param {string} rootFolder - folder to which the paths of tests are relative
 * @returns {{ name: string, status: string }[]} all tests; a file that could not be run counts as a failed test
 */
function listTests (results, rootFolder) {
  return results.testResults.flatMap(file => {
    const path = file.name.slice(rootFolder.length + 1)
    if (file.assertionResults.length === 0 && file.status === 'failed') return [{ name: path, status: 'failed' }]
    return file.assertionResults.map(test => ({ name: [path, ...test.ancestorTitles, test.title].join(NAME_SEPARATOR), status: test.status }))
  })
}

/**
 * @param {object} results - what the test runner writes with `--json`
 * @param {string} list - text of the list of known failures
 * @param {string} rootFolder - folder to which the paths of tests are relative
 * @returns {{ passed: number, excused: { name: string, status: string }[], unknownFailures: string[], isAccepted: boolean }} the result;
 * an excused test is listed whether it failed in this run or not, so that the result does not depend on a flaky test
 */
function evaluateRun (results, list, rootFolder) {
  const known = knownTests(list)
  const tests = listTests(results, rootFolder)
  const unknownFailures = tests.filter(test => test.status === 'failed' && !known.has(test.name)).map(test => test.name)
  const passed = tests.filter(test => test.status === 'passed').length
  return { passed, excused: tests.filter(test => known.has(test.name)), unknownFailures, isAccepted: unknownFailures.length === 0 && passed > 0 }
}

module.exports = { evaluateRun, knownTests }
