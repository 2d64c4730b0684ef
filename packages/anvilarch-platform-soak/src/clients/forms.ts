/** The forms in which clients send requests and read responses. */
import type { RequestPart } from 'anvilarch-standins'
import type { Random } from 'anvilarch-utils'
import { HOST, type RequestKind } from '../deployment'

/** How a request is sent and its response is read. */
export interface RequestForm {
  connection: 'kept' | 'fresh'
  body: 'length' | 'chunked'
  /** Time over which the body is sent. */
  bodyMs: number
  linked: boolean
  readsSlowly: boolean
  /** Whether another request is sent at once behind it on its connection. */
  pipelined: boolean
}

/** Longest time over which a body is sent, and the share of the deadline that it takes at most. */
const MAX_BODY_MS = 3000
const MAX_BODY_SHARE = 0.6

const KEPT_SHARE = 0.75
const CHUNKED_SHARE = 0.4
const GRADUAL_BODY_SHARE = 0.35
const LINKED_SHARE = 0.35
const SLOW_READER_SHARE = 0.15
const PIPELINED_SHARE = 0.1

const MAX_PARTS = 6
const BODY_BYTES = 1200

/** @returns a form for a request of a kind */
export function drawForm (random: Random, kind: RequestKind, pipelines: boolean): RequestForm {
  const isGradual = random.next() < GRADUAL_BODY_SHARE
  return {
    connection: random.next() < KEPT_SHARE ? 'kept' : 'fresh',
    body: random.next() < CHUNKED_SHARE ? 'chunked' : 'length',
    bodyMs: isGradual ? random.next() * Math.min(MAX_BODY_MS, MAX_BODY_SHARE * kind.deadlineMs) : 0,
    linked: random.next() < LINKED_SHARE,
    readsSlowly: random.next() < SLOW_READER_SHARE,
    pipelined: pipelines && random.next() < PIPELINED_SHARE
  }
}

/** @returns the form in words */
export function describeForm (form: RequestForm): string {
  const words = [form.connection, `body by ${form.body}${form.bodyMs > 0 ? ` over ${Math.round(form.bodyMs)} ms` : ''}`]
  if (form.linked) words.push('over a link')
  if (form.readsSlowly) words.push('read slowly')
  if (form.pipelined) words.push('pipelined')
  return words.join(', ')
}

/** What the head of a request says. */
export interface RequestFields {
  kind: RequestKind
  requestId: string
  deadlineMs: number
  /** Event after which a stream resumes. */
  lastEventId: number | undefined
}

/**
 * @param random - lengths and pauses of the parts of a body
 * @param fields - fields of the head
 * @param form - how the body is sent
 * @returns the parts of the request
 */
export function requestParts (random: Random, { kind, requestId, deadlineMs, lastEventId }: RequestFields, form: Pick<RequestForm, 'body' | 'bodyMs'>): RequestPart[] {
  const body = `request ${requestId} `.padEnd(BODY_BYTES, 'x')
  const head = [
    `POST ${kind.pathPrefix}${requestId} HTTP/1.1`,
    `Host: ${HOST}`,
    `X-Request-Id: ${requestId}`,
    `X-Deadline-Ms: ${deadlineMs}`,
    ...kind.service === 'models' ? ['X-Model: m', 'X-Token-Counts: 350,310', `X-Prompt-Prefix: 1a:100,${requestId.slice(0, 8)}:250`] : [],
    ...lastEventId === undefined ? [] : [`Last-Event-Id: ${lastEventId}`],
    form.body === 'chunked' ? 'Transfer-Encoding: chunked' : `Content-Length: ${body.length}`
  ].join('\r\n')
  const pieces = form.bodyMs > 0 ? random.between(2, MAX_PARTS) : 1
  const pieceBytes = Math.ceil(body.length / pieces)
  const texts = Array.from({ length: pieces }, (_, index) => body.slice(index * pieceBytes, (index + 1) * pieceBytes))
  const framed = form.body === 'chunked' ? [...texts.map(text => `${text.length.toString(16)}\r\n${text}\r\n`), '0\r\n\r\n'] : texts
  const pauseMs = form.bodyMs / framed.length
  const bodyParts = framed.map(text => ({ pauseMs: random.jitter(pauseMs, 0.5), bytes: Buffer.from(text) }))
  const start = Buffer.from(`${head}\r\n\r\n`)
  if (form.bodyMs > 0) return [{ pauseMs: 0, bytes: start }, ...bodyParts]
  return [{ pauseMs: 0, bytes: Buffer.concat([start, ...bodyParts.map(({ bytes }) => bytes)]) }]
}
