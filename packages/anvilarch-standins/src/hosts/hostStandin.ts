/** The stand-in of the platform's list of hosts, in which changes become visible after `lagMs`. */
import type { HostEntry } from 'anvilarch-protocol'
import { type Clock, createSystemClock } from 'anvilarch-utils'
import { type HandlerRequest, type HandlerResult, type StandinHandle, type StandinOptions, type StandinServer, startStandinServer } from '../common/standinServer'

/** Counts of served requests, and the current list. */
export interface HostLedger {
  counts: { reads: number, changes: number }
  /** The current list, without lag. */
  hosts: HostEntry[]
}

/** A running host list. */
export interface HostStandin extends StandinHandle<HostLedger> {
  /** Replaces the list. */
  setHosts: (hosts: HostEntry[]) => void
}

/** Options of the host list. */
export interface HostStandinOptions extends StandinOptions {
  /** The initial list, visible without lag. */
  hosts?: HostEntry[]
}

interface HostState {
  /** Lists with the start of their validity, the oldest first; the first one has been valid from the start. */
  history: Array<{ sinceMs: number, hosts: HostEntry[] }>
  counts: HostLedger['counts']
}

/**
 * @param options - port, faults (`lagMs`), clock and the initial list
 * @returns the running stand-in
 */
export async function startHostStandin (options: HostStandinOptions = {}): Promise<HostStandin> {
  const clock = options.clock ?? createSystemClock()
  const state: HostState = { history: [{ sinceMs: -Infinity, hosts: options.hosts ?? [] }], counts: { reads: 0, changes: 0 } }
  const server: StandinServer<HostLedger> = await startStandinServer<HostLedger>({
    routes: [
      { method: 'GET', path: '/hosts', handle: () => readHosts(state, clock, server.faults.get().lagMs) },
      { method: 'PUT', path: '/hosts', handle: request => writeHosts(state, clock, request) }
    ],
    ledger: () => ({ counts: { ...state.counts }, hosts: latestHosts(state) })
  }, options)
  return { ...server, setHosts: hosts => { changeHosts(state, clock, hosts) } }
}

function readHosts (state: HostState, clock: Clock, lagMs: number): HandlerResult {
  state.counts.reads++
  const asOfMs = clock.nowMs() - lagMs
  const shown = state.history.findLast(({ sinceMs }) => sinceMs <= asOfMs) ?? state.history[0]
  return { status: 200, body: { hosts: shown.hosts } }
}

function writeHosts (state: HostState, clock: Clock, request: HandlerRequest): HandlerResult {
  const { hosts } = JSON.parse(request.body.toString()) as { hosts: HostEntry[] }
  if (!Array.isArray(hosts)) return { status: 400, body: { error: { message: '"hosts" must be a list' } } }
  changeHosts(state, clock, hosts)
  return { status: 200, body: { hosts } }
}

function changeHosts (state: HostState, clock: Clock, hosts: HostEntry[]): void {
  state.counts.changes++
  state.history.push({ sinceMs: clock.nowMs(), hosts })
}

function latestHosts (state: HostState): HostEntry[] {
  return state.history[state.history.length - 1].hosts
}
