import { canonicalJson, hashDocument } from '../canonicalJson'
import { validateDocument } from '../validate'

const DOCUMENT = '{"formatVersion":1,"regions":{"a":{"failureDomains":["x","y"]}},"services":{}}'
const EQUAL_DOCUMENT = '{ // Other order, and an explicit default.\n"services":{},"models":{},"regions":{"a":{"failureDomains":["x","y"]}},"formatVersion":1}'
const OTHER_DOCUMENT = '{"formatVersion":1,"regions":{"a":{"failureDomains":["y","x"]}},"services":{}}'

const parse = (text: string) => validateDocument(text, 'test.jsonc').unwrap()

describe('canonicalJson', () => {
  it('sorts the keys of each object and keeps the order of lists', () => {
    const json = canonicalJson(parse(DOCUMENT))
    expect(json).toMatch(/^{"callers":{},"defaultCaller":{"burst":/)
    expect(json).toContain('["x","y"]')
  })

  it('returns a valid document with the same canonical text', () => {
    const json = canonicalJson(parse(DOCUMENT))
    expect(canonicalJson(parse(json))).toBe(json)
  })
})

describe('hashDocument', () => {
  it('depends only on the content', () => {
    expect(hashDocument(parse(DOCUMENT))).toMatch(/^[0-9a-f]{64}$/)
    expect(hashDocument(parse(EQUAL_DOCUMENT))).toBe(hashDocument(parse(DOCUMENT)))
    expect(hashDocument(parse(OTHER_DOCUMENT))).not.toBe(hashDocument(parse(DOCUMENT)))
  })
})
