/** Stand-in for an endpoint of the users' platform: an engine that computes streams in steps, or a plain service. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { Clock, Random, Timer } from 'anvilarch-utils'
import { drawForm, type EndpointHabits, endResponse, type ResponseForm, writeHead } from './endpointHabits'

/** Time of a step with one running request, and how much each further one adds: a stream of 35 events takes 0.9 to 1.5 s. */
const STEP_MS = 24
const STEP_PER_RUN_MS = 2.4

/** Time of a plain request. */
const WORK_MS = 42.9

const WORK_JITTER = 0.3
const QUEUE_LIMIT = 24

/** Time for which requests in progress may hold up the end of a leaving endpoint. */
const FINISH_MS = 5000

/** Run of a request at the stand-in, in milliseconds of its clock. */
export interface EndpointStandinRun {
  requestId: string
  endpoint: string
  arrivedAtMs: number
  /** Time of the first event of a stream, or of the start of other work; undefined if it still waited. */
  beganAtMs: number | undefined
  /** `broke_off`: the stand-in ended it. `dropped`: its sender closed the connection. `rejected`: refused without a run. */
  end: 'complete' | 'broke_off' | 'dropped' | 'rejected' | 'running'
  endedAtMs: number | undefined
}

/** Options of `startEndpointStandin`. */
export interface EndpointStandinOptions {
  id: string
  ip: string
  port: number
  service: 'models' | 'plain'
  slots: number
  /** Events of a stream. */
  events: number
  clock: Clock
  random: Random
  habits: EndpointHabits
  /** Receives all runs. */
  runs: EndpointStandinRun[]
}

/** Running stand-in. */
export interface EndpointStandin extends Pick<EndpointStandinOptions, 'id' | 'service' | 'slots' | 'ip'> {
  address: string
  /** Pauses all streams, and preempts the newest run, as when memory runs out. */
  pause: (durationMs: number) => void
  /** Announces on each response that the connection ends. */
  leave: () => void
  /** Ends the process after the requests in progress. */
  end: (onStopListening?: () => void) => Promise<void>
}

interface Work {
  run: EndpointStandinRun
  response: ServerResponse
  form: ResponseForm
  /** Last event that was made. */
  lastEventId: number
  /** Events that were made and not sent. */
  unsent: string[]
  deadlineAtMs: number
  /** Sends what the next step yields. */
  timer: Timer | undefined
}

/** @returns the data of an event of a request */
export function endpointEventData (eventId: number): string {
  return `token-${eventId} `.repeat(8)
}

/** First line of an event at which the version of the weights changes. */
export const NEW_WEIGHTS_LINE = 'x-weight-versions: 2\n'

/** @returns the body of the response of a plain service */
export function endpointBody (requestId: string): string {
  return `answer to ${requestId} `.padEnd(800, '.')
}

/** @returns the listening stand-in */
export async function startEndpointStandin ({ id, ip, port, service, slots, events, clock, random, habits, runs }: EndpointStandinOptions): Promise<EndpointStandin> {
  const active = new Set<Work>()
  const queue: Work[] = []
  const sockets = new Set<Socket>()
  let leaving = false
  let pausedUntilMs = 0
  let stepping = false

  /** A leaving endpoint says on each response that the connection ends. */
  const formNow = (form: ResponseForm): ResponseForm => ({ ...form, announcesClose: form.announcesClose || leaving })
  const respond = (response: ServerResponse, status: number, headers: Record<string, string>, body = '', form = drawForm(random, habits)): void => {
    writeHead(response, formNow(form), status, headers, Buffer.byteLength(body))
    endResponse(response, formNow(form), body)
  }
  const stamps = ({ run }: Work): Record<string, string> => ({ 'X-Request-Id': run.requestId, 'X-Server-Stamp': `stamp.${id}`, 'X-Weight-Versions': '1' })

  const settle = (work: Work, end: EndpointStandinRun['end']): void => {
    if (work.run.end !== 'running') return
    work.run.end = end
    work.run.endedAtMs = clock.nowMs()
    work.timer?.cancel()
    active.delete(work)
    const position = queue.indexOf(work)
    if (position >= 0) queue.splice(position, 1)
    admit()
  }

  const admit = (): void => {
    while (active.size < slots && queue.length > 0) {
      const work = queue.shift() as Work
      active.add(work)
      if (service === 'models') continue
      work.run.beganAtMs = clock.nowMs()
      work.timer = clock.after(random.jitter(WORK_MS, WORK_JITTER), () => completePlain(work))
    }
    if (service === 'models' && active.size > 0 && !stepping) scheduleStep()
  }

  const completePlain = (work: Work): void => {
    settle(work, 'complete')
    respond(work.response, 200, stamps(work), endpointBody(work.run.requestId), work.form)
  }

  const scheduleStep = (): void => {
    stepping = true
    const stepMs = STEP_MS + STEP_PER_RUN_MS * active.size
    clock.after(Math.max(stepMs, pausedUntilMs - clock.nowMs()), () => {
      stepping = false
      if (clock.nowMs() < pausedUntilMs) scheduleStep()
      else step()
    })
  }

  const step = (): void => {
    for (const work of [...active]) sendEvent(work)
    if (active.size > 0 && !stepping) scheduleStep()
  }

  const sendStreamHead = (work: Work): void => {
    writeHead(work.response, formNow(work.form), 200, { 'Content-Type': 'text/event-stream', ...stamps(work) })
    work.response.flushHeaders()
  }

  /** Without a length, only a reset shows that a response is not whole. */
  const breakOff = (work: Work): void => {
    settle(work, 'broke_off')
    work.response.socket?.resetAndDestroy()
  }

  const eventText = (eventId: number, form: ResponseForm): string =>
    `${eventId === form.newWeightsAtEvent ? NEW_WEIGHTS_LINE : ''}id: ${eventId}\ndata: ${endpointEventData(eventId)}\n\n`

  const sendEvent = (work: Work): void => {
    const { response, run, unsent } = work
    if (clock.nowMs() > work.deadlineAtMs) {
      breakOff(work)
      return
    }
    if (!response.headersSent) sendStreamHead(work)
    run.beganAtMs ??= clock.nowMs()
    // A stream that resumes after the last event has none.
    if (work.lastEventId < events) unsent.push(eventText(++work.lastEventId, work.form))
    if (work.lastEventId < events) {
      if (unsent.length >= work.form.eventsPerWrite) response.write(unsent.splice(0).join(''))
      return
    }
    settle(work, 'complete')
    endResponse(response, formNow(work.form), unsent.join(''))
  }

  const serve = (request: IncomingMessage, response: ServerResponse): void => {
    const requestId = String(request.headers['x-request-id'])
    const expected = request.headers['x-expect-instance']
    if (request.url === '/-/report') {
      respond(response, 200, { 'Content-Type': 'application/json' }, JSON.stringify({ stage: 'both', models: [{ name: 'm', version: 1, adapters: [] }], busy: false, seq: 0, waiting: queue.length, running: active.size, 'kv-used': active.size * 400, 'kv-total': 147_261, handles: 0, state: leaving ? 'draining' : 'ready', runs: [...active].map(work => [work.run.requestId, 350 + work.lastEventId, work.lastEventId, 0]) }))
      return
    }
    if (request.url === '/health') {
      respond(response, leaving ? 503 : 200, { 'X-Instance-Id': id })
      return
    }
    const nowMs = clock.nowMs()
    const isOther = expected !== undefined && expected !== id
    if (isOther || (active.size >= slots && queue.length >= QUEUE_LIMIT)) {
      runs.push({ requestId, endpoint: id, arrivedAtMs: nowMs, beganAtMs: undefined, end: 'rejected', endedAtMs: nowMs })
      respond(response, isOther ? 421 : habits.fullStatus, { 'X-Not-Run': '1', 'X-Request-Id': requestId })
      return
    }
    const run: EndpointStandinRun = { requestId, endpoint: id, arrivedAtMs: nowMs, beganAtMs: undefined, end: 'running', endedAtMs: undefined }
    const work: Work = { run, response, form: drawForm(random, habits, events), unsent: [], lastEventId: Number(request.headers['last-event-id'] ?? 0), deadlineAtMs: nowMs + Number(request.headers['x-deadline-ms'] ?? 5000), timer: undefined }
    runs.push(run)
    response.on('close', () => settle(work, 'dropped'))
    if (service === 'models' && work.form.isHeadEarly) sendStreamHead(work)
    queue.push(work)
    admit()
  }

  const server = createServer({ keepAliveTimeout: habits.idleMs }, (request, response) => {
    request.resume()
    request.on('end', () => serve(request, response))
  })
  server.on('connection', socket => {
    socket.on('error', () => socket.destroy())
    if (habits.resetsConnections && queue.length >= slots && sockets.size >= slots + QUEUE_LIMIT) {
      socket.resetAndDestroy()
      return
    }
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, ip, resolve)
  })
  return {
    id,
    service,
    slots,
    ip,
    address: `${ip}:${(server.address() as AddressInfo).port}`,
    pause: durationMs => {
      pausedUntilMs = Math.max(pausedUntilMs, clock.nowMs() + durationMs)
      const newest = [...active].at(-1)
      if (newest === undefined || active.size < 2) return
      active.delete(newest)
      queue.unshift(newest)
    },
    leave: () => { leaving = true },
    end: async onStopListening => {
      leaving = true
      const untilMs = clock.nowMs() + FINISH_MS
      while (active.size + queue.length > 0 && clock.nowMs() < untilMs) await new Promise(resolve => setTimeout(resolve, 20))
      server.close()
      onStopListening?.()
      // A run that ends lets the next one begin.
      for (const work of [...queue, ...active]) breakOff(work)
      for (const socket of sockets) socket.destroy()
    }
  }
}
