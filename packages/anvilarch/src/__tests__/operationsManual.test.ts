import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import * as configuration from 'anvilarch-configuration'
import { ATTEMPT_OUTCOMES, REFUSAL_REASONS } from 'anvilarch-protocol'
import { EXIT_CODES } from '../exitCodes'

const ROOT = join(__dirname, '../../../..')
const DAEMON = join(ROOT, 'packages/anvilarch-daemon/src')
const MANUAL = readFileSync(join(ROOT, 'docs/OPERATIONS.md'), 'utf8')

/** Names that stand in the manual as code. */
const named = new Set([...MANUAL.matchAll(/`([^`\n]+)`/g)].flatMap(([, code]) => code.split(/[.,\s{}()[\]]+|(?=<)/).concat(code)))
const missing = (names: readonly string[]): string[] => [...new Set(names)].filter(name => !named.has(name)).sort()

function sourcesOf (directory: string): string[] {
  return readdirSync(directory, { withFileTypes: true }).flatMap(entry => {
    const path = join(directory, entry.name)
    if (entry.isDirectory()) return entry.name.startsWith('__') ? [] : sourcesOf(path)
    return path.endsWith('.ts') ? [readFileSync(path, 'utf8')] : []
  })
}

const sources = sourcesOf(DAEMON)
const found = (pattern: RegExp): string[] => sources.flatMap(text => [...text.matchAll(pattern)].map(([, name]) => name))

// Guards against this: an operator meets a name that the manual lacks, or looks for one that is gone.
describe('docs/OPERATIONS.md', () => {
  it('names every metric, and none that is not there', () => {
    const metrics = found(/name: '(anvilarch_[a-z_]+)'/g)
    expect(metrics.length).toBeGreaterThan(10)
    expect(missing(metrics)).toEqual([])
    expect([...MANUAL.matchAll(/anvilarch_[a-z_]+/g)].map(([name]) => name).filter(name => !metrics.includes(name))).toEqual([])
  })

  it('names every event of the time line, and none that is not there', () => {
    const events = found(/(?:record\(|: )'((?:[a-z]+)\.[a-z_]+)'(?=[,)])/g).filter(name => !/^(?:node|platform|callers)\./.test(name))
    const orders = ['accepted', 'started', 'done', 'refused'].map(name => `orders.${name}`)
    const known = [...events, ...found(/'(membership\.agent_[a-z]+)'/g), ...orders]
    expect(missing(found(/record\('([a-z_.]+)'/g).filter(name => name.includes('.')))).toEqual([])
    const table = MANUAL.slice(MANUAL.indexOf('| event | at | what |'), MANUAL.indexOf('## What the platform keeps'))
    const documented = [...table.matchAll(/^\| (`[^|]+) \|/gm)].flatMap(([, cell]) => [...cell.matchAll(/`([^`]+)`/g)].map(([, name]) => name))
    expect(documented.filter(name => !known.includes(name))).toEqual([])
  })

  it('names every field of settings and document, with its default', () => {
    const sections = [
      configuration.DEFAULT_AGENT_SETTINGS, configuration.DEFAULT_GATEWAY_SETTINGS, configuration.DEFAULT_ENDPOINT_SETTINGS,
      configuration.DEFAULT_PLATFORM_SETTINGS, configuration.DEFAULT_LIMITS, configuration.DEFAULT_CALLER_LIMITS, configuration.DEFAULT_BATCH_POLICY
    ]
    const rows = MANUAL.split('\n').filter(line => line.startsWith('| `'))
    const wrong = sections.flatMap(section => Object.entries(section)).filter(([name, value]) => {
      if (Array.isArray(value)) return missing([name]).length > 0
      const shown = typeof value === 'number' ? String(value) : `\`${String(value)}\``
      return !rows.some(row => new RegExp(`[\`.]${name}\``).test(row.split('|')[1]) && row.includes(`| ${shown} |`))
    })
    expect(wrong).toEqual([])
  })

  it('names every error code, refusal reason and outcome', () => {
    const errors = readFileSync(join(ROOT, 'packages/anvilarch-utils/src/errors.ts'), 'utf8')
    const union = errors.slice(errors.indexOf('export type ErrorCode'), errors.indexOf('/** What an `AnvilarchError` carries'))
    const codes = [...union.matchAll(/'([a-z_]+)'/g)].map(([, code]) => code)
    expect(codes.length).toBeGreaterThan(10)
    expect(missing([...codes, ...REFUSAL_REASONS, ...ATTEMPT_OUTCOMES])).toEqual([])
  })

  it('names every exit code with its number', () => {
    const rows = Object.values(EXIT_CODES).map(({ code }) => code)
    const table = MANUAL.slice(MANUAL.indexOf('## Commands'), MANUAL.indexOf('## What callers see'))
    expect(rows.filter(code => !table.includes(`\n| ${code} | `))).toEqual([])
  })
})
