import { evaluateRun, knownTests } from '../knownRed'

const LIST = [
  'soak seed 42 (not in CI) | npm run soak | seen | cause | issue 2',
  'platform/a.test.ts | npx jest a | did not end | not known | issue 10',
  'packages/b.test.ts > silence > resumes, over a new connection | npx jest b | seen | not known | issue 2'
].join('\n')

const test = (title: string, status: string, ancestorTitles = ['silence']): object => ({ ancestorTitles, title, status })
const file = (name: string, assertionResults: object[], status = 'passed'): object => ({ name: `/root/${name}`, assertionResults, status })
const evaluate = (...testResults: object[]): ReturnType<typeof evaluateRun> => evaluateRun({ testResults }, LIST, '/root')

const LISTED = 'packages/b.test.ts > silence > resumes, over a new connection'

describe('the list of known failures', () => {
  it('contains only entries for single tests, not for files or soaks', () => {
    expect([...knownTests(LIST)]).toEqual([LISTED])
  })

  it('excuses a listed test, with the same result whether it fails or passes', () => {
    const failed = evaluate(file('packages/b.test.ts', [test('resumes, over a new connection', 'failed'), test('other', 'passed')]))
    expect(failed).toEqual({ passed: 1, excused: [{ name: LISTED, status: 'failed' }], unknownFailures: [], isAccepted: true })
    const passed = evaluate(file('packages/b.test.ts', [test('resumes, over a new connection', 'passed'), test('other', 'passed')]))
    expect(passed).toMatchObject({ isAccepted: true, excused: [{ status: 'passed' }] })
  })

  it('excuses no other test of the same file, and none with the same title in another file', () => {
    const other = evaluate(file('packages/b.test.ts', [test('other', 'failed'), test('more', 'passed')]))
    expect(other).toMatchObject({ isAccepted: false, unknownFailures: ['packages/b.test.ts > silence > other'] })
    const elsewhere = evaluate(file('packages/c.test.ts', [test('resumes, over a new connection', 'failed'), test('more', 'passed')]))
    expect(elsewhere).toMatchObject({ isAccepted: false })
  })

  it('does not accept a file that cannot be run, nor a run without tests', () => {
    expect(evaluate(file('packages/b.test.ts', [], 'failed'), file('x.test.ts', [test('t', 'passed')]))).toMatchObject({ isAccepted: false, unknownFailures: ['packages/b.test.ts'] })
    expect(evaluate()).toMatchObject({ isAccepted: false })
  })
})
