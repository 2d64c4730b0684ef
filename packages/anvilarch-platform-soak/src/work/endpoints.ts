/** The endpoints of a run: engines and plain services with their rows in the store. */
import { type Clock, type Random, sleep } from 'anvilarch-utils'
import { createDerivedRandom } from '../derivedRandom'
import { drawHabits, drawLinkProfile, type EndpointStandin, type LinkedPort, startEndpointStandin, startLinkedPort, type StoreStandin } from 'anvilarch-standins'
import { DRAIN_MS, HEARTBEAT_MS, PORTS, STREAM_EVENTS, ZONES } from '../deployment'
import type { EndpointRun } from '../rule/types'

const SLOTS = { models: 8, plain: 6 } as const

/** Longest time for which a leaving endpoint serves beyond the required one. */
const EXTRA_DRAIN_MS = 4000

/** Share of endpoints behind a link with delays. */
const LINKED_SHARE = 0.4

/** Port of the link of an endpoint. */
const LINK_PORT = PORTS.engine + 1

/** In one run of this many, endpoints reset connections while their queues are long, which ends the requests that would wait. */
const RESETTING_RUNS = 3

/** A new endpoint comes with an entry of another writer, which names no endpoint, in one case of this many. */
const ODD_ENTRY_EVERY = 4

/** Keeps the habits of an endpoint apart from its link and pace, and from the habits in runs with other seeds. */
const HABITS_SEED_FACTOR = 10_007

/** Share of leaving endpoints whose row says so; the rows of the others are removed. */
const ANNOUNCED_SHARE = 0.7

/** Endpoint with its row. */
export interface Endpoint {
  engine: EndpointStandin
  softwareVersion: string
  /** Address in its row, which may be that of a link. */
  address: string
  link: LinkedPort | undefined
  zone: string
  state: 'ready' | 'draining' | 'unlisted'
  seq: number
}

/** Endpoints of a run. */
export interface Endpoints {
  runs: EndpointRun[]
  /** @returns endpoints of a service that are not leaving */
  serving: (service: EndpointStandin['service']) => Endpoint[]
  add: (service: EndpointStandin['service'], softwareVersion: string) => Promise<Endpoint>
  /** Announces the end of an endpoint and ends it later. */
  remove: (endpoint: Endpoint, random: Random) => Promise<void>
  close: () => Promise<void>
}

/** Options of `openEndpoints`. */
export interface EndpointsOptions {
  clock: Clock
  store: StoreStandin
  nextIp: () => Promise<string>
  seed: number
}

/** @returns endpoints without any */
export function openEndpoints ({ clock, store, nextIp, seed }: EndpointsOptions): Endpoints {
  const all = new Set<Endpoint>()
  const runs: EndpointRun[] = []
  const closed = new AbortController()
  const links: LinkedPort[] = []
  const resetsConnections = seed % RESETTING_RUNS === 0
  let added = 0

  const writeRow = (endpoint: Endpoint): void => {
    const { engine, softwareVersion, address, zone, state } = endpoint
    endpoint.seq++
    store.put('servers', engine.id, { service: engine.service, address, zone, version: softwareVersion, slots: engine.slots, state, 'cold-left-ms': 0, seq: endpoint.seq })
  }
  const keepRow = (endpoint: Endpoint, random: Random): void => {
    if (closed.signal.aborted || !all.has(endpoint) || endpoint.state === 'unlisted') return
    writeRow(endpoint)
    clock.after(random.jitter(HEARTBEAT_MS, 0.1), () => keepRow(endpoint, random))
  }

  return {
    runs,
    serving: service => [...all].filter(({ engine, state }) => engine.service === service && state === 'ready'),
    add: async (service, softwareVersion) => {
      added++
      const random = createDerivedRandom(seed + added)
      const habits = drawHabits(createDerivedRandom(seed * HABITS_SEED_FACTOR + added), resetsConnections)
      const engine = await startEndpointStandin({ id: `i-${service}-${added}`, ip: await nextIp(), port: PORTS.engine, service, slots: SLOTS[service], events: STREAM_EVENTS, clock, random, habits, runs })
      const endpoint: Endpoint = { engine, softwareVersion, address: engine.address, link: undefined, zone: ZONES[added % ZONES.length], state: 'ready', seq: 0 }
      if (random.next() < LINKED_SHARE) {
        const link = await startLinkedPort({ clock, random, profile: drawLinkProfile(random), ip: engine.ip, port: LINK_PORT, targetPort: PORTS.engine })
        links.push(link)
        Object.assign(endpoint, { link, address: link.address })
      }
      all.add(endpoint)
      if (added % ODD_ENTRY_EVERY === 0) store.put('servers', `i-odd-${added}`, random.pick([Buffer.from([0xff, 0]), { service, address: engine.address, state: 'gone' }, { state: 'ready' }, []]))
      keepRow(endpoint, random)
      return endpoint
    },
    remove: async (endpoint, random) => {
      const { engine } = endpoint
      endpoint.state = random.next() < ANNOUNCED_SHARE ? 'draining' : 'unlisted'
      engine.leave()
      if (endpoint.state === 'draining') writeRow(endpoint)
      else store.remove('servers', engine.id)
      await sleep(clock, DRAIN_MS + random.next() * EXTRA_DRAIN_MS, closed.signal)
      await engine.end(() => endpoint.link?.stopListening())
      all.delete(endpoint)
      store.remove('servers', engine.id)
    },
    close: async () => {
      closed.abort()
      for (const link of links) link.close()
      await Promise.all([...all].map(async ({ engine }) => await engine.end()))
    }
  }
}
