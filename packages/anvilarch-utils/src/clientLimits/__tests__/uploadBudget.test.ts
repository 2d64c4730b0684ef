import { createFakeClock } from '../../fakeClock'
import { createUploadBudget, SMALL_BODY_BYTES, type Upload, type UploadBudget } from '../uploadBudget'

const LIMIT_BYTES = 1_000_000
const LARGE_BYTES = 400_000

let clock: ReturnType<typeof createFakeClock>
let budget: UploadBudget
let evicted: string[]

beforeEach(() => {
  clock = createFakeClock()
  evicted = []
  budget = createUploadBudget({ clock, limitBytes: LIMIT_BYTES })
})

function open (name: string, bytes: number): Upload {
  const upload = budget.open(() => { evicted.push(name) })
  upload.tryAdd(bytes)
  return upload
}

describe('createUploadBudget', () => {
  // Guards against a crowd that keeps all the room until its timeout while new requests are refused.
  it('evicts the body that has stopped for one that comes', () => {
    open('stopped', LARGE_BYTES)
    clock.advance(3000)
    open('moving', LARGE_BYTES)
    expect(open('new', LARGE_BYTES).tryAdd(1)).toBe(true)
    expect(evicted).toEqual(['stopped'])
  })

  // Guards against ordinary small requests that give way to large ones.
  it('never evicts a small body for a large one, however slowly the small one comes', () => {
    open('small', 600)
    clock.advance(60_000)
    open('first', LARGE_BYTES)
    open('second', LARGE_BYTES)
    open('third', LARGE_BYTES)
    expect(evicted).not.toContain('small')
  })

  it('keeps room for small bodies that large ones cannot use', () => {
    const whole = [open('a', LARGE_BYTES), open('b', LARGE_BYTES)]
    whole.forEach(upload => upload.complete())
    expect(budget.open(() => {}).tryAdd(LIMIT_BYTES - 2 * LARGE_BYTES)).toBe(false)
    expect(budget.open(() => {}).tryAdd(SMALL_BODY_BYTES)).toBe(true)
  })

  // Guards against a refusal that says that a request has not run although it may have.
  it('never evicts a whole body', () => {
    const whole = open('whole', 2 * LARGE_BYTES)
    whole.complete()
    clock.advance(10_000)
    expect(budget.open(() => {}).tryAdd(LARGE_BYTES)).toBe(false)
    expect(evicted).toEqual([])
    whole.release()
    expect(budget.open(() => {}).tryAdd(LARGE_BYTES)).toBe(true)
  })

  // Guards against a limit that no host of its size can meet for a single request.
  it('has room for any body that is alone, and not for a second one beside it', () => {
    expect(budget.open(() => {}).tryAdd(3 * LIMIT_BYTES)).toBe(true)
    expect(budget.open(() => {}).tryAdd(600)).toBe(true)
    expect(budget.takenBytes()).toBe(600)
  })

  it('counts nothing after all bodies have been released, however often', () => {
    const uploads = [open('a', 10), open('b', 20)]
    for (const upload of uploads) {
      upload.complete()
      upload.release()
      upload.release()
    }
    expect(budget.takenBytes()).toBe(0)
  })

  it('expects room by what has been released lately', () => {
    const first = open('first', LARGE_BYTES)
    const second = open('second', LARGE_BYTES)
    first.complete()
    second.complete()
    clock.advance(1000)
    first.release()
    open('third', LARGE_BYTES).complete()
    // 400,000 bytes in two seconds, of 200,000 that are missing.
    expect(budget.roomInMs(LARGE_BYTES)).toBe(1000)
  })
})
