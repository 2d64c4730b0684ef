/**
 * Forwards a stream of server-sent events in complete events only, so that the caller never has a partial event when another
 * endpoint continues the stream.
 */
import { createParser } from 'eventsource-parser'
import type { Headers, WorkSink } from '../types'
import { type CompletionChunk, createTranscript } from './transcript'
import type { OutputCollector } from './types'

/** Marks the end of a completion stream. */
const DONE = '[DONE]'

/**
 * @param sink - receives the events
 * @returns an empty collector
 */
export function createStreamCollector (sink: WorkSink): OutputCollector {
  const transcript = createTranscript()
  let status = 0
  let headers: Headers = {}
  let delivered = false
  let continuing = false
  let events: string[] = []
  let decoder = new TextDecoder()
  let isEventStream = true
  let ended = false

  const parser = createParser({ onEvent: event => { forwardEvent(event.data, event.event) } })

  const forwardEvent = (data: string, name: string | undefined): void => {
    const chunk = parseChunk(data)
    if (data === DONE) {
      // Clients stop reading at this marker, so it is forwarded only once the response is complete.
      if (ended || !transcript.finished()) return
      ended = true
    }
    if (chunk === undefined) {
      events.push(toEvent(data, name))
      return
    }
    if (continuing && (transcript.repeatsEnd(chunk) || isRepeatedRole(chunk))) return
    transcript.add(chunk)
    events.push(toEvent(continuing ? JSON.stringify({ ...chunk, ...transcript.identity() }) : data, name))
  }

  const deliver = (data: Uint8Array): Promise<void> | undefined => {
    if (!delivered) sink.onHead(status, headers)
    delivered = true
    return sink.onOutput(data) ?? undefined
  }

  return {
    head: (newStatus, newHeaders) => {
      const isEvents = isStream(newStatus, newHeaders)
      if (delivered) return newStatus === status && isEvents ? undefined : continuationProblem(newStatus, newHeaders)
      status = newStatus
      headers = newHeaders
      isEventStream = isEvents
      return undefined
    },
    output: data => {
      if (!isEventStream) return deliver(data)
      parser.feed(decoder.decode(data, { stream: true }))
      if (events.length === 0) return undefined
      const text = events.join('')
      events = []
      return deliver(Buffer.from(text))
    },
    continuable: () => !delivered || (isEventStream && transcript.continuable()),
    missing: () => {
      if (!isEventStream || ended) return undefined
      return transcript.finished() ? 'its end mark' : 'the reason for its end'
    },
    restart: () => {
      parser.reset()
      decoder = new TextDecoder()
      if (!delivered) return undefined
      continuing = true
      return transcript.continuation()
    },
    finish: async () => {
      if (!delivered) sink.onHead(status, headers)
      return { status, headers, body: new Uint8Array(0) }
    }
  }
}

/** @returns the parsed event, or undefined for one that is not JSON, such as the end marker */
function parseChunk (data: string): CompletionChunk | undefined {
  if (data === DONE) return undefined
  try {
    return JSON.parse(data) as CompletionChunk
  } catch {
    return undefined
  }
}

/** An error response is not a stream, whatever its content type: it is complete without an end marker. */
function isStream (status: number, headers: Headers): boolean {
  return status >= 200 && status < 300 && (headers['content-type'] ?? '').startsWith('text/event-stream')
}

function continuationProblem (status: number, headers: Headers): string {
  return `the endpoint answered ${status} with content type "${headers['content-type'] ?? ''}" when asked to go on with a stream`
}

/** True for the role event that an endpoint sends again when it continues a stream. */
function isRepeatedRole (chunk: CompletionChunk): boolean {
  const choice = chunk.choices?.[0]
  if (choice === undefined) return false
  const content = choice.text ?? choice.delta?.['content']
  const empty = content === undefined || content === null || content === ''
  return empty && choice.delta?.['role'] !== undefined && typeof choice.finish_reason !== 'string'
}

function toEvent (data: string, name: string | undefined): string {
  const lines = data.includes('\n') ? data.split('\n').map(line => `data: ${line}\n`).join('') : `data: ${data}\n`
  return name === undefined ? `${lines}\n` : `event: ${name}\n${lines}\n`
}
