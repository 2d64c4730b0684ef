/** The stand-in of the platform's rate-limited weight store. */
import { type Clock, createSystemClock, sleep } from 'anvilarch-utils'
import { type HandlerRequest, type HandlerResult, type StandinHandle, type StandinOptions, startStandinServer } from '../common/standinServer'

/** The transfers of the store, and the number of rejected ones. */
export interface WeightLedger {
  transfers: Array<{ model: string, version: string, startedAtMs: number }>
  refused: number
  mostConcurrent: number
}

/** Options of the weight store. */
export interface WeightStandinOptions extends StandinOptions {
  /** Maximum number of concurrent transfers; a further one is rejected with 429. */
  maxConcurrent?: number
  /** Duration of one transfer. It represents the size of the weights divided by the bandwidth of the store. */
  transferMs?: number
}

/** A running weight store. */
export type WeightStandin = StandinHandle<WeightLedger>

/** Low enough that a placement without any rate limit is rejected immediately, even in a small fleet. */
export const DEFAULT_MAX_CONCURRENT_TRANSFERS = 2
/** Long enough that the transfers of two simultaneous orders overlap, and short enough for a test. */
export const DEFAULT_TRANSFER_MS = 200

interface WeightState {
  ledger: WeightLedger
  running: number
  maxConcurrent: number
  transferMs: number
}

/**
 * @param options - concurrency limit, transfer time, port, faults and clock
 * @returns the running stand-in
 */
export async function startWeightStandin (options: WeightStandinOptions = {}): Promise<WeightStandin> {
  const clock = options.clock ?? createSystemClock()
  const state: WeightState = {
    ledger: { transfers: [], refused: 0, mostConcurrent: 0 },
    running: 0,
    maxConcurrent: options.maxConcurrent ?? DEFAULT_MAX_CONCURRENT_TRANSFERS,
    transferMs: options.transferMs ?? DEFAULT_TRANSFER_MS
  }
  return await startStandinServer<WeightLedger>({
    routes: [{ method: 'GET', path: '/weights/:model/:version', handle: request => transfer(state, clock, request) }],
    ledger: () => ({ ...state.ledger, transfers: [...state.ledger.transfers] })
  }, options)
}

async function transfer (state: WeightState, clock: Clock, request: HandlerRequest): Promise<HandlerResult> {
  if (state.running >= state.maxConcurrent) {
    state.ledger.refused++
    return { status: 429, headers: { 'retry-after': '1' }, body: { error: { message: 'too many transfers' } } }
  }
  const model = request.params.model ?? ''
  const version = request.params.version ?? ''
  state.running++
  state.ledger.mostConcurrent = Math.max(state.ledger.mostConcurrent, state.running)
  state.ledger.transfers.push({ model, version, startedAtMs: clock.wallMs() })
  await sleep(clock, state.transferMs)
  state.running--
  return { status: 200, headers: { 'content-type': 'application/octet-stream' }, body: Buffer.from(`weights of ${model} ${version}`) }
}
