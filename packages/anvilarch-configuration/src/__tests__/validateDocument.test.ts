import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { DEFAULT_BATCH_POLICY, DEFAULT_LIMITS, DEFAULT_MODEL_SERVICE } from '../defaults'
import type { ConfigurationIssue } from '../types'
import { validateDocument } from '../validate'

const EXAMPLES = join(__dirname, '../../../../examples')

const VALID = `{
  // A comment.
  "formatVersion": 1,
  "regions": { "ba": { "failureDomains": ["norte", "sur"] } },
  "models": { "small": { "versions": { "1.0": { "sizeBytes": 10 } }, "adapters": ["disputes"] } },
  "services": {
    "assistant": { "kind": "model", "model": "small", "version": "1.0", "replicas": 2 },
    "lookup": { "kind": "plain", "replicas": 1, "routes": [
      { "method": "GET", "path": "/names/:name", "idempotent": true }
    ] },
  },
}`

function issuesOf (text: string): ConfigurationIssue[] {
  const result = validateDocument(text, 'test.jsonc')
  return result.ok ? [] : result.val
}

interface Case {
  name: string
  replace: [string, string]
  line: number
  column?: number
  field: string
  found: string
  expected: string
  didYouMean?: string[]
}

const CASES: Case[] = [
  {
    name: 'an unknown key',
    replace: ['"replicas": 2', '"replicas": 2, "adaptors": []'],
    line: 7,
    column: 88,
    field: 'services.assistant.adaptors',
    found: 'the unknown key "adaptors"',
    expected: 'one of the keys kind, model, version, adapters',
    didYouMean: ['adapters']
  },
  { name: 'a missing key', replace: [', "replicas": 2', ''], line: 7, field: 'services.assistant.replicas', found: 'nothing', expected: 'a whole number of at least 1' },
  { name: 'zero replicas', replace: ['"replicas": 2', '"replicas": 0'], line: 7, field: 'services.assistant.replicas', found: '0', expected: 'a whole number of at least 1' },
  { name: 'half a replica', replace: ['"replicas": 2', '"replicas": 1.5'], line: 7, field: 'services.assistant.replicas', found: '1.5', expected: 'a whole number of at least 1' },
  { name: 'a number as a string', replace: ['"replicas": 2', '"replicas": "2"'], line: 7, field: 'services.assistant.replicas', found: '"2"', expected: 'a whole number of at least 1' },
  { name: 'an undefined model', replace: ['"model": "small"', '"model": "smal"'], line: 7, column: 46, field: 'services.assistant.model', found: '"smal"', expected: 'a name from models: "small"', didYouMean: ['small'] },
  { name: 'an undefined version', replace: ['"version": "1.0", "r', '"version": "1.1", "r'], line: 7, field: 'services.assistant.version', found: '"1.1"', expected: 'a name from models.small.versions: "1.0"', didYouMean: ['1.0'] },
  { name: 'an undefined adapter', replace: ['"replicas": 2', '"replicas": 2, "adapters": ["dispute"]'], line: 7, field: 'services.assistant.adapters[0]', found: '"dispute"', expected: 'a name from models.small.adapters: "disputes"', didYouMean: ['disputes'] },
  { name: 'an undefined failure domain', replace: ['"replicas": 2', '"replicas": 2, "failureDomains": ["nort"]'], line: 7, field: 'services.assistant.failureDomains[0]', found: '"nort"', expected: 'a name from regions: "norte", "sur"', didYouMean: ['norte'] },
  { name: 'an unknown work class', replace: ['"replicas": 2', '"replicas": 2, "classes": ["onlin"]'], line: 7, field: 'services.assistant.classes[0]', found: '"onlin"', expected: 'one of "online", "batch"', didYouMean: ['online'] },
  { name: 'an unknown kind', replace: ['"kind": "plain"', '"kind": "plan"'], line: 8, field: 'services.lookup.kind', found: '"plan"', expected: 'one of "model", "plain"', didYouMean: ['plain'] },
  { name: 'a route without idempotent', replace: [', "idempotent": true', ''], line: 9, field: 'services.lookup.routes[0].idempotent', found: 'nothing', expected: 'true or false' },
  { name: 'a route path without a slash', replace: ['"/names/:name"', '"names"'], line: 9, field: 'services.lookup.routes[0].path', found: '"names"', expected: 'a path such as "/names/:name" or "/files/*"' },
  {
    name: 'two routes that match the same calls',
    replace: ['"idempotent": true }', '"idempotent": true },\n{ "method": "GET", "path": "/names/:id", "idempotent": true }'],
    line: 10,
    field: 'services.lookup.routes[1]',
    found: 'the route GET /names/:id, which matches the same calls as routes[0]',
    expected: 'each route once'
  },
  { name: 'a duplicate key', replace: ['"lookup": {', '"assistant": {'], line: 8, column: 5, field: 'services.assistant', found: 'the key "assistant" a second time', expected: 'each key once in an object' },
  { name: 'a name with a slash', replace: ['"lookup": {', '"look/up": {'], line: 8, field: 'services.look/up', found: 'the key "look/up"', expected: 'a name of at most 64 letters' },
  { name: 'a duplicate failure domain in a region', replace: ['"sur"]', '"norte"]'], line: 4, field: 'regions.ba.failureDomains[1]', found: '"norte", which region "ba" has too', expected: 'each failure domain in one region, once' },
  { name: 'another format version', replace: ['"formatVersion": 1', '"formatVersion": 2'], line: 3, field: 'formatVersion', found: '2', expected: '1' },
  { name: 'a caller key that is not a hash', replace: ['"models"', '"callers": { "desk": { "keySha256": "secret" } },\n"models"'], line: 5, field: 'callers.desk.keySha256', found: '"secret"', expected: 'the SHA-256 of the bearer key as 64 lower-case hex digits' },
  { name: 'an item limit above the file limit', replace: ['"models"', '"limits": { "maxFileBytes": 10 },\n"models"'], line: 5, field: 'limits.maxItemBytes', found: '1048576', expected: 'at most maxFileBytes, which is 10' },
  { name: 'a missing comma', replace: ['"formatVersion": 1,', '"formatVersion": 1'], line: 4, column: 3, field: '', found: '"regions": {', expected: '"," before the next entry' }
]

describe('validateDocument', () => {
  it('accepts a document with comments and trailing commas, and fills in defaults', () => {
    const document = validateDocument(VALID, 'test.jsonc').unwrap()
    expect(document.services.assistant).toMatchObject({ ...DEFAULT_MODEL_SERVICE, batch: DEFAULT_BATCH_POLICY })
    expect(document.limits).toEqual(DEFAULT_LIMITS)
    expect(document.callers).toEqual({})
  })

  it('fills in the limits of defaultCaller that a caller does not set', () => {
    const text = VALID.replace('"models"', '"defaultCaller": { "burst": 7 }, "callers": { "desk": { "maxConcurrent": 3 } }, "models"')
    expect(validateDocument(text, 'test.jsonc').unwrap().callers.desk).toMatchObject({ burst: 7, maxConcurrent: 3 })
  })

  it.each(CASES)('reports $name', ({ replace, line, column, field, found, expected, didYouMean }) => {
    const text = VALID.replace(...replace)
    expect(text).not.toBe(VALID)
    const issues = issuesOf(text)
    const issue = issues.find(candidate => candidate.field === field && candidate.line === line)
    expect(issue).toMatchObject({ file: 'test.jsonc', didYouMean: didYouMean ?? [] })
    expect(issue?.found).toContain(found)
    expect(issue?.expected).toContain(expected)
    if (column !== undefined) expect(issue?.column).toBe(column)
  })

  it('reports all issues at once in the order of the text', () => {
    const text = VALID.replace('"replicas": 2', '"replicas": 0').replace('"GET"', '"GOT"').replace('"formatVersion": 1', '"formatVersion": 3')
    expect(issuesOf(text).map(issue => issue.line)).toEqual([3, 7, 9])
  })

  it.each(['', '   ', '// only a comment'])('reports an empty text %j', text => {
    expect(issuesOf(text).length).toBeGreaterThan(0)
  })

  it('accepts a byte order mark before the document', () => {
    expect(issuesOf(`\uFEFF${VALID}`)).toEqual([])
  })

  it.each(['chamber.jsonc', 'office.jsonc', 'demo.jsonc'])('accepts the example %s', fileName => {
    expect(issuesOf(readFileSync(join(EXAMPLES, fileName), 'utf8'))).toEqual([])
  })
})
