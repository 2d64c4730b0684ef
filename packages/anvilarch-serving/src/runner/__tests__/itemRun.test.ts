import { createFakeClock, type FakeClock } from 'anvilarch-utils'
import type { Pool } from 'undici'
import type { EngineWire } from '../../roles/types'
import type { RequestWire } from '../../requests/types'
import { type ItemText, type RunEnd, runItem } from '../itemRun'

/** Response of an engine; an event stream unless a type is given. */
interface Answer {
  status: number
  body: string
  type?: string
  /** How the connection ends if the response states no length. */
  ends?: 'closed' | 'broken'
  /** Start of the engine. */
  startId?: string
}

const ITEM = {
  requestWire: { decodeResponse: () => ({ requestId: 'item', signed: true, notRun: false }) } as unknown as RequestWire,
  engineWire: { encodeItem: () => [] } as unknown as EngineWire,
  item: { id: 'item', path: '/', headers: {}, body: Buffer.alloc(0), tokens: 10 },
  host: 'h',
  account: undefined,
  endpointId: 'e1',
  startId: 'e1',
  deadlineMs: 100_000
}

/** Continues an item from a text at an engine that sends one complete response. */
async function endOfRun (answer: Answer, text: ItemText): Promise<RunEnd | undefined> {
  const ends: RunEnd[] = []
  const dispatch = (_options: unknown, handler: Record<'onConnect' | 'onHeaders' | 'onData' | 'onComplete', (...args: unknown[]) => void>): boolean => {
    queueMicrotask(() => {
      handler.onConnect(() => {})
      const headers = ['content-type', answer.type ?? 'text/event-stream', ...answer.ends === undefined ? ['content-length', String(answer.body.length)] : []]
      handler.onHeaders(answer.status, headers.map(part => Buffer.from(part)))
      if (answer.body !== '') handler.onData(Buffer.from(answer.body))
      handler.onComplete()
    })
    return true
  }
  runItem({
    clock: createFakeClock(),
    pool: { dispatch, lastConnectionEnd: () => answer.ends } as unknown as Pool,
    ...ITEM,
    startId: answer.startId ?? ITEM.startId,
    text,
    onEvent: () => {},
    onEnd: end => ends.push(end)
  })
  await new Promise(resolve => setImmediate(resolve))
  return ends[0]
}

function startOfText (): ItemText {
  return { lastEventId: 0, eventData: [], softwareVersion: undefined }
}

function textUpToSecondEvent (): ItemText {
  return { lastEventId: 2, eventData: ['a', 'b'] }
}

describe('runItem', () => {
  it('completes an item with the data of all its events', async () => {
    const answer = { status: 200, body: 'id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n' }
    expect(await endOfRun(answer, startOfText())).toEqual({ end: 'completed', text: 'a\nb\nc' })
  })

  it('completes an item that is resumed after its last event', async () => {
    expect(await endOfRun({ status: 200, body: '' }, textUpToSecondEvent())).toEqual({ end: 'completed', text: 'a\nb' })
  })

  it('does not add comments between events to the text', async () => {
    const answer = { status: 200, body: ': alive\n\nid: 3\ndata: c\n\n: alive\n\n' }
    expect(await endOfRun(answer, textUpToSecondEvent())).toEqual({ end: 'completed', text: 'a\nb\nc' })
  })

  // Guards against an item without any output that is listed as completed.
  it('is interrupted when the first run ends before its first event', async () => {
    expect(await endOfRun({ status: 200, body: '' }, startOfText())).toMatchObject({ end: 'interrupted' })
  })

  // Guards against an item that is listed as completed without the data of events that had no id.
  it.each([
    ['a middle event has no id', 'id: 3\ndata: c\n\ndata: d\n\nid: 4\ndata: e\n\n'],
    ['the last event has no id', 'id: 3\ndata: c\n\ndata: d\n\n'],
    ['no event has an id', 'data: c\n\n'],
    ['the id of an event is not a number', 'id: x\ndata: c\n\n'],
    ['the body contains something else', '{"error":"busy"}\n\n']
  ])('is interrupted when %s', async (_name, body) => {
    expect(await endOfRun({ status: 200, body }, textUpToSecondEvent())).toMatchObject({ end: 'interrupted' })
  })

  // Guards against a partial text that is listed as completed because the engine sent another kind of response.
  it.each(['', '{"error":"busy"}\n\n', 'id: 3\ndata: c\n\n'])('is interrupted when the body %j is not declared as a stream of events', async body => {
    expect(await endOfRun({ status: 200, body, type: 'application/json' }, textUpToSecondEvent())).toMatchObject({ end: 'interrupted', reason: 'status 200' })
  })

  // Guards against an item of an engine that states no length in any response, which never ends.
  it('completes an item without a length once the same start of the engine has no further event', async () => {
    const text = startOfText()
    const whole = { status: 200, body: 'id: 1\ndata: a\n\n', ends: 'closed' as const }
    expect(await endOfRun(whole, text)).toMatchObject({ end: 'interrupted', reason: 'end_not_confirmed' })
    expect(await endOfRun({ ...whole, body: '' }, text)).toEqual({ end: 'completed', text: 'a' })
  })

  // Guards against a partial text that is listed as completed after its engine was killed.
  it('does not complete an item without a length after a broken connection, or at another start of the engine', async () => {
    const text = startOfText()
    const part = { status: 200, body: 'id: 1\ndata: a\n\n' }
    expect(await endOfRun({ ...part, ends: 'broken' }, text)).toMatchObject({ end: 'interrupted', reason: 'ECONNRESET' })
    expect(await endOfRun({ status: 200, body: '', ends: 'closed' }, text)).toMatchObject({ end: 'interrupted' })
    expect(await endOfRun({ status: 200, body: '', ends: 'closed', startId: 'e2' }, text)).toMatchObject({ end: 'interrupted' })
    expect(await endOfRun({ status: 200, body: '', ends: 'broken', startId: 'e2' }, text)).toMatchObject({ end: 'interrupted' })
    expect(await endOfRun({ status: 200, body: 'id: 2\ndata: b\n\n', ends: 'closed', startId: 'e2' }, text)).toMatchObject({ end: 'interrupted' })
    expect(await endOfRun({ status: 200, body: '', ends: 'closed', startId: 'e2' }, text)).toEqual({ end: 'completed', text: 'a\nb' })
  })

  it.each([201, 202, 203, 204, 205, 206, 404, 408, 421, 429, 503, 504])('is interrupted by status %i', async status => {
    expect(await endOfRun({ status, body: '' }, textUpToSecondEvent())).toMatchObject({ end: 'interrupted' })
  })

  it.each([[500, 'failed'], [422, 'impossible']])('ends the run of a resumed item at status %i as %s', async (status, end) => {
    expect(await endOfRun({ status, body: '' }, textUpToSecondEvent())).toEqual({ end })
  })
})

describe('a run whose engine sends bytes without end', () => {
  interface OpenRun {
    clock: FakeClock
    text: ItemText
    ends: RunEnd[]
    send: (bytes: string) => void
    isAborted: () => boolean
  }

  async function openRun (): Promise<OpenRun> {
    const clock = createFakeClock()
    const text = startOfText()
    const ends: RunEnd[] = []
    let aborted = false
    let send = (_bytes: string): void => {}
    const dispatch = (_options: unknown, handler: Record<'onConnect' | 'onHeaders' | 'onData', (...args: unknown[]) => void>): boolean => {
      handler.onConnect(() => { aborted = true })
      handler.onHeaders(200, ['content-type', 'text/event-stream', 'transfer-encoding', 'chunked'].map(part => Buffer.from(part)))
      send = bytes => { handler.onData(Buffer.from(bytes)) }
      return true
    }
    runItem({
      clock,
      pool: { dispatch } as unknown as Pool,
      ...ITEM,
      text,
      onEvent: () => {},
      onEnd: end => ends.push(end)
    })
    await new Promise(resolve => setImmediate(resolve))
    return { clock, text, ends, send: bytes => send(bytes), isAborted: () => aborted }
  }

  // Guards against an item that keeps its slot for as long as its engine sends comments.
  it('is interrupted if they are comments', async () => {
    const { clock, ends, send, isAborted } = await openRun()
    for (let count = 0; count < 30; count++) {
      send(': alive\n\n')
      clock.advance(100)
    }
    expect(ends).toEqual([{ end: 'interrupted', reason: 'silent' }])
    expect(isAborted()).toBe(true)
  })

  // Guards against a runner that collects events until its memory is used up.
  it('is interrupted, and its text discarded, if they are events', async () => {
    const { text, ends, send, isAborted } = await openRun()
    const data = 'a'.repeat(1024 * 1024)
    for (let id = 1; id <= 9; id++) send(`id: ${id}\ndata: ${data}\n\n`)
    expect(ends).toEqual([{ end: 'interrupted', reason: 'text_too_large' }])
    expect(text).toMatchObject({ lastEventId: 0, eventData: [] })
    expect(isAborted()).toBe(true)
  })
})
