/** Load: clients that arrive at random at a rate that swings, each with its kind and form of request. */
import { type Clock, type Random, sleep } from 'anvilarch-utils'
import { createDerivedRandom } from '../derivedRandom'
import { IDLE_TIMEOUT_MS, PORTS, REQUEST_KINDS, type RequestKind } from '../deployment'
import { type ClientConnection, drawLinkProfile, openConnection, type PlatformMachine, type Rotation } from 'anvilarch-standins'
import { type Attempt, mayRetry, runAttempt } from './attempt'
import { drawForm, type RequestForm } from './forms'

/** The rate swings between these multiples of its mean. */
const LOWEST_RATE = 0.38
const HIGHEST_RATE = 1.87
const SWING_PERIOD_MS = 20_000

/** Clients do not reuse a connection that has been idle for longer. */
const MAX_IDLE_MS = 0.8 * IDLE_TIMEOUT_MS

/** Attempts of a client for one request. */
const MAX_ATTEMPTS = 2

/** Part of the remaining time for which a client honours `Retry-After`. */
const RETRY_AFTER_SHARE = 1 / 3

/** Connection of a client and where it leads. */
interface Client {
  connection: ClientConnection
  gateway: PlatformMachine
  form: RequestForm
}

/** Running load. */
export interface Traffic {
  attempts: Attempt[]
  /** Multiplies the rate for a while. */
  burst: (factor: number, durationMs: number) => void
  /** Resolves at the next head of a response of a gateway, or after the timeout. */
  nextHead: (gateway: PlatformMachine, timeoutMs: number) => Promise<void>
  /** Lets no more clients arrive, and waits for the requests in progress. */
  stop: () => Promise<void>
}

/** Options of `startTraffic`. */
export interface TrafficOptions {
  clock: Clock
  seed: number
  rotation: Rotation
  /** Mean number of requests per second. */
  rate: number
  /** Whether some clients send a request before the response to the one before. */
  pipelines: boolean
}

/** @returns the running load */
export function startTraffic ({ clock, seed, rotation, rate, pipelines }: TrafficOptions): Traffic {
  const random = createDerivedRandom(seed)
  const attempts: Attempt[] = []
  const idle = new Set<Client>()
  const inProgress = new Set<Promise<void>>()
  const headListeners = new Set<(gateway: PlatformMachine) => void>()
  const stopped = new AbortController()
  const startMs = clock.nowMs()
  let burstFactor = 1
  let calls = 0

  const open = (callRandom: Random, form: RequestForm, except?: PlatformMachine): Client => {
    const gateway = rotation.pick(callRandom, except)
    const link = form.linked ? drawLinkProfile(callRandom) : undefined
    const onHead = (): void => { for (const listener of headListeners) listener(gateway) }
    return { gateway, form, connection: openConnection({ clock, random: callRandom, ip: gateway.ip, port: PORTS.front, link, readsSlowly: form.readsSlowly, onHead }) }
  }
  const takeIdle = (callRandom: Random): Client | undefined => {
    for (const client of idle) {
      const isOld = clock.nowMs() - client.connection.lastUsedAtMs() > MAX_IDLE_MS
      if (isOld) client.connection.leave()
      if (isOld || !client.connection.isReusable()) idle.delete(client)
    }
    if (idle.size === 0) return undefined
    const client = callRandom.pick([...idle])
    idle.delete(client)
    return client
  }

  const call = async (callRandom: Random, kind: RequestKind, first: Client): Promise<void> => {
    const untilMs = clock.nowMs() + kind.deadlineMs
    let client = first
    let lastEventId: number | undefined
    for (let count = 1; count <= MAX_ATTEMPTS; count++) {
      const requestId = Array.from({ length: 2 }, () => callRandom.between(0, 0x7fffffff).toString(16).padStart(8, '0')).join('')
      const attempt = await runAttempt({ clock, random: callRandom, connection: client.connection, gateway: client.gateway.name, fields: { kind, requestId, deadlineMs: Math.floor(untilMs - clock.nowMs()), lastEventId }, form: client.form })
      attempts.push(attempt)
      if (client !== first) client.connection.leave()
      const remainingMs = untilMs - clock.nowMs()
      if (!mayRetry(attempt) || count === MAX_ATTEMPTS || remainingMs <= 0) return
      await sleep(clock, Math.min(attempt.retryAfterMs, RETRY_AFTER_SHARE * remainingMs))
      if (kind.service === 'models' && attempt.lastEventId > 0) lastEventId = attempt.lastEventId
      client = open(callRandom, { ...client.form, connection: 'fresh', bodyMs: 0, pipelined: false }, client.gateway)
    }
  }

  const arrive = async (): Promise<void> => {
    calls++
    const callRandom = createDerivedRandom(seed * 1_000_003 + calls)
    const kind = drawKind(callRandom)
    const drawn = drawForm(callRandom, kind, pipelines)
    const kept = drawn.connection === 'kept' ? takeIdle(callRandom) : undefined
    const client = kept === undefined ? open(callRandom, drawn) : { ...kept, form: { ...drawn, linked: kept.form.linked, readsSlowly: kept.form.readsSlowly } }
    const behind = drawn.pipelined ? [call(createDerivedRandom(seed * 1_000_003 - calls), kind, client)] : []
    await Promise.all([call(callRandom, kind, client), ...behind])
    if (drawn.connection === 'kept' && client.connection.isReusable()) idle.add(client)
    else client.connection.leave()
  }

  const generate = async (): Promise<void> => {
    for (let nextAtMs = clock.nowMs(); !stopped.signal.aborted;) {
      const arrival = arrive().finally(() => inProgress.delete(arrival))
      inProgress.add(arrival)
      const perMs = rate * swing(clock.nowMs() - startMs) * burstFactor / 1000
      nextAtMs += -Math.log(1 - random.next()) / perMs
      await sleep(clock, nextAtMs - clock.nowMs(), stopped.signal)
    }
  }
  const generated = generate()

  return {
    attempts,
    burst: (factor, durationMs) => {
      burstFactor = factor
      clock.after(durationMs, () => { burstFactor = 1 })
    },
    nextHead: async (gateway, timeoutMs) => {
      await new Promise<void>(resolve => {
        const finish = (): void => {
          headListeners.delete(listener)
          timer.cancel()
          resolve()
        }
        const timer = clock.after(timeoutMs, finish)
        const listener = (from: PlatformMachine): void => { if (from === gateway) finish() }
        headListeners.add(listener)
      })
    },
    stop: async () => {
      stopped.abort()
      await generated
      await Promise.all(inProgress)
      for (const { connection } of idle) connection.leave()
    }
  }
}

function swing (elapsedMs: number): number {
  const middle = (HIGHEST_RATE + LOWEST_RATE) / 2
  return middle + (HIGHEST_RATE - middle) * Math.sin(2 * Math.PI * elapsedMs / SWING_PERIOD_MS)
}

function drawKind (random: Random): RequestKind {
  let left = random.next() * REQUEST_KINDS.reduce((sum, { weight }) => sum + weight, 0)
  return REQUEST_KINDS.find(({ weight }) => (left -= weight) < 0) ?? REQUEST_KINDS[0]
}
