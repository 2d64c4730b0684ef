import fc from 'fast-check'
import { countFailure, createJobRecord, endJob, recordOutcome } from '../../jobs/jobRecord'
import { claimKey, claimRowKey, decodeClaim, decodeJob, decodeMember, decodeProgress, encodeRecord, jobKey } from '../../jobs/jobRows'
import { decodePage } from '../../jobs/quota'
import { decodeVersionRecord } from '../../streams/versionRecord'
import { isSocketAddress, MAX_NESTING, MAX_VALUE_BYTES, parseRowValue } from '../rowValues'
import type { StoredRow } from '../types'

const RECORDS = {
  job: { jobId: 'j', account: 'a', host: 'h', path: '/', submittedAtMs: 1, dueAtMs: 2, expiresAtMs: 3, maxAttempts: 1, itemIds: ['i'], itemTokens: [1], listed: [{ item: 0, outcome: 'completed' }], failures: { 0: 1 }, ended: false },
  claim: { jobId: 'j', item: 0, runner: 'r', incarnation: 'x', held: true, savedEventId: 0 },
  member: { name: 'm', role: 'gateway', incarnation: 'x', peerAddress: '10.0.0.1:1', failureDomain: 'a', aliveUntilMs: 1, eventMs: 2, knownSinceMs: 0 },
  versions: { listed: ['v1'], recent: ['v1'], changedAtMs: 1, completeSinceMs: 0 },
  progress: { lastEventId: 1, text: 't', softwareVersion: 'v1' }
}

const KEYS: Record<keyof typeof RECORDS, string> = { job: 'j', claim: 'j.0000', member: 'm', versions: 's', progress: 'p' }

/** @returns the decoded record; undefined if the row is unusable */
const DECODERS: Record<keyof typeof RECORDS, (row: StoredRow) => object | undefined> = {
  job: row => decodeJob(row).map<object | undefined>(record => record).unwrapOr(undefined),
  claim: row => decodeClaim(row).map<object | undefined>(record => record).unwrapOr(undefined),
  member: row => decodeMember(row).map<object | undefined>(record => record).unwrapOr(undefined),
  versions: row => decodeVersionRecord(row.value).map<object | undefined>(record => record).unwrapOr(undefined),
  progress: row => decodeProgress(row.value)
}

function rowOf (key: string, value: Buffer): StoredRow {
  return { table: 't', partition: '', key, value, version: 1 }
}

const NUMBERS = ['1e400', '-1e400', '1e300', '-0', '9007199254740993', '-1', '0.5', '65536', '1000000000']
const ODD_TEXTS = [...NUMBERS, 'null', 'true', '[]', '{}', '[null]', '{"0":1e400}', '""', '"1"', '"__proto__"', '"10.0.0.1:0"', '"10.0.0.1:65536"', '"\\ud800"', `"${'x'.repeat(70_000)}"`]

const DEEP_TEXTS = [10, 1000, 100_000].map(depth => '['.repeat(depth) + ']'.repeat(depth))

/** Bytes of a row whose field, or nothing but a value, is odd. */
function oddBytes (record: object): fc.Arbitrary<Buffer> {
  const texts = fc.oneof(fc.constantFrom(...ODD_TEXTS, ...DEEP_TEXTS), fc.json())
  const withField = fc.tuple(fc.constantFrom(...Object.keys(record), '__proto__', ''), texts).map(([field, text]) =>
    Buffer.from(`${JSON.stringify(record).slice(0, -1)},${JSON.stringify(field)}:${text}}`))
  const damaged = fc.tuple(fc.nat(), fc.integer({ min: 0, max: 255 })).map(([position, byte]) => {
    const bytes = Buffer.from(JSON.stringify(record))
    bytes[position % bytes.length] = byte
    return bytes
  })
  return fc.oneof(withField, damaged, texts.map(text => Buffer.from(text)), fc.uint8Array().map(bytes => Buffer.from(bytes)))
}

/** @returns whether all numbers are finite and the value can be encoded again */
function isPlain (value: unknown): boolean {
  return !JSON.stringify(value, (_key, field: unknown) => typeof field === 'number' && !Number.isFinite(field) ? '<not finite>' : field).includes('<not finite>')
}

describe('rows of other writers', () => {
  const kinds = Object.keys(RECORDS) as Array<keyof typeof RECORDS>

  it.each(kinds)('are decoded if they are a %s', kind => {
    expect(DECODERS[kind](rowOf(KEYS[kind], Buffer.from(JSON.stringify(RECORDS[kind]))))).toEqual(RECORDS[kind])
  })

  it.each(kinds)('never make the decoder of a %s throw, and pass only if all fields are of their type and finite', kind => {
    fc.assert(fc.property(oddBytes(RECORDS[kind]), bytes => {
      const decoded = DECODERS[kind](rowOf(KEYS[kind], bytes))
      if (decoded === undefined) return true
      return Object.entries(RECORDS[kind]).every(([field, sound]) => {
        const value = (decoded as Record<string, unknown>)[field]
        return value === undefined ? ['account', 'eventMs', 'knownSinceMs', 'completeSinceMs', 'softwareVersion'].includes(field) : typeof value === typeof sound && Array.isArray(value) === Array.isArray(sound) && isPlain(value)
      }) && (kind !== 'member' || isSocketAddress((decoded as typeof RECORDS.member).peerAddress))
    }), { seed: 61, numRuns: 800 })
  })

  it('are an empty page of reservations that the next reservation replaces if they are malformed', () => {
    fc.assert(fc.property(oddBytes({ jobId: 'j', tokens: 1, reservedAtMs: 1 }), bytes => {
      const page = decodePage({ table: 't', partition: '', key: 'k' }, [rowOf('k', bytes)])
      return page.version === 1 && (page.problem === undefined ? isPlain(page.reservations) : page.reservations.length === 0)
    }), { seed: 61, numRuns: 500 })
  })

  it.each([
    [{ ...RECORDS.job, jobId: 'other' }, 'jobId'], [{ ...RECORDS.job, itemTokens: [] }, 'itemTokens'], [{ ...RECORDS.job, listed: [{ item: 1, outcome: 'completed' }] }, 'listed'],
    [{ ...RECORDS.job, listed: [null] }, 'listed'], [{ ...RECORDS.job, failures: null }, 'failures']
  ])('are no job if their fields do not fit together (%#)', (record, field) => {
    expect(decodeJob(rowOf('j', Buffer.from(JSON.stringify(record)))).val).toMatchObject({ field })
  })
})

describe('records of this program', () => {
  const number = fc.double({ noNaN: true, noDefaultInfinity: true, min: -Number.MAX_SAFE_INTEGER, max: Number.MAX_SAFE_INTEGER })

  // Guards against an accepted job that no daemon can read.
  it('are decoded as they were written, whatever a client submits', () => {
    const item = fc.record({ id: fc.string(), path: fc.string(), headers: fc.constant({}), body: fc.constant(Buffer.alloc(0)), tokens: fc.double({ noNaN: true, noDefaultInfinity: true }) })
    const terms = fc.record({ jobId: fc.string(), account: fc.option(fc.string(), { nil: undefined }), host: fc.string(), path: fc.string(), nowMs: number, dueMs: number, expiryMs: number, maxAttempts: number })
    fc.assert(fc.property(fc.array(item), terms, fc.nat(), (items, jobTerms, chosen) => {
      const job = createJobRecord(items, jobTerms)
      const failed = items.length === 0 ? undefined : countFailure(job, chosen % items.length)
      const records = [job, endJob(job), ...failed === undefined ? [] : [failed, recordOutcome(failed, chosen % items.length, 'completed') ?? job]]
      for (const record of records) expect(decodeJob(rowOf(jobTerms.jobId, encodeRecord(jobKey(jobTerms.jobId), record).value)).ok).toBe(true)
      const claim = { ...RECORDS.claim, jobId: jobTerms.jobId, item: chosen }
      expect(decodeClaim(rowOf(claimRowKey(jobTerms.jobId, chosen), encodeRecord(claimKey(jobTerms.jobId, chosen), claim).value)).ok).toBe(true)
      const page = decodePage(jobKey('k'), [rowOf('k', Buffer.from(JSON.stringify([{ jobId: jobTerms.jobId, tokens: jobTerms.nowMs, reservedAtMs: jobTerms.dueMs }])))])
      expect(page.problem).toBeUndefined()
    }), { seed: 61, numRuns: 500 })
  })
})

describe('parseRowValue', () => {
  it('refuses values that are too long, too deep, not UTF-8 or not JSON, with a short reason', () => {
    const values = [
      Buffer.alloc(MAX_VALUE_BYTES + 1, 0x20), Buffer.from('['.repeat(MAX_NESTING + 1) + ']'.repeat(MAX_NESTING + 1)), Buffer.from('{"a":'.repeat(100_000)),
      Buffer.from([0x22, 0xff, 0x22]), Buffer.alloc(0), Buffer.from('x'.repeat(10_000))
    ]
    for (const value of values) expect((parseRowValue(value).val as { reason: string }).reason.length).toBeLessThanOrEqual(200)
    for (const value of values) expect(parseRowValue(value).err).toBe(true)
  })

  it('accepts the deepest nesting allowed, and brackets within texts', () => {
    for (const text of ['['.repeat(MAX_NESTING) + ']'.repeat(MAX_NESTING), JSON.stringify(`\\"${'['.repeat(1000)}`)]) expect(parseRowValue(Buffer.from(text)).val).toEqual(JSON.parse(text))
  })
})
