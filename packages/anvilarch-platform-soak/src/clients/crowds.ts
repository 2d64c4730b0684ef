/** Clients that do not behave, beside the load: crowds of forms that are generated from the seed, one after another. */
import { type Clock, sleep } from 'anvilarch-utils'
import { type Crowd, type CrowdForm, openCrowd, type PlatformMachine, type Rotation } from 'anvilarch-standins'
import { createDerivedRandom } from '../derivedRandom'
import { HOST, PORTS } from '../deployment'

/** Forms that a crowd may have, and how many clients it has at most. */
const FORMS: ReadonlyArray<{ form: CrowdForm, maxClients: number }> = [
  { form: 'stated_bodies', maxClients: 20 },
  { form: 'gradual_bodies', maxClients: 20 },
  { form: 'chunked_bodies', maxClients: 20 },
  { form: 'tiny_chunks', maxClients: 4 },
  { form: 'unfinished_heads', maxClients: 60 },
  { form: 'empty_lines_after_response', maxClients: 20 },
  { form: 'pipelines', maxClients: 5 },
  { form: 'silent_connections', maxClients: 60 },
  { form: 'slow_heads', maxClients: 60 }
]

const MAX_BYTES = 4 * 1024 * 1024
const MAX_TINY_CHUNKS = 60_000
const MAX_PIPELINED_REQUESTS = 1000

/** Longest time for which a crowd keeps its connections, and longest pause before the next one. */
const MAX_CROWD_MS = 4000
const MAX_PAUSE_MS = 3000

/** Keeps the crowds apart from the load and the planned work of the same seed. */
const CROWDS_SEED_FACTOR = 30_011

/** Running crowds. */
export interface Crowds {
  /** @returns the forms that were played, with their sizes */
  played: () => string[]
  stop: () => Promise<void>
}

/** Options of `startCrowds`. */
export interface CrowdsOptions {
  clock: Clock
  seed: number
  rotation: Rotation
}

/** @returns crowds that are played until they are stopped */
export function startCrowds ({ clock, seed, rotation }: CrowdsOptions): Crowds {
  const random = createDerivedRandom(seed * CROWDS_SEED_FACTOR)
  const stopped = new AbortController()
  const played: string[] = []
  const open = (gateway: PlatformMachine): Crowd => {
    const { form, maxClients } = random.pick(FORMS)
    const clients = random.between(1, maxClients)
    const bytesPerClient = form === 'tiny_chunks' ? random.between(1, MAX_TINY_CHUNKS) : random.between(1, MAX_BYTES)
    played.push(`${form} of ${clients} at ${gateway.name}`)
    const head = `/lookup/crowd HTTP/1.1\r\nHost: ${HOST}\r\nX-Request-Id: crowd-${played.length}\r\nX-Deadline-Ms: 2500`
    return openCrowd({ form, clients, bytesPerClient, requestsPerClient: random.between(1, MAX_PIPELINED_REQUESTS), target: { ip: gateway.ip, port: PORTS.front, postHead: `POST ${head}`, getRequest: `GET ${head}\r\n\r\n` } })
  }
  const play = async (): Promise<void> => {
    while (!stopped.signal.aborted) {
      const crowd = open(rotation.pick(random))
      await sleep(clock, random.next() * MAX_CROWD_MS, stopped.signal)
      crowd.close()
      await sleep(clock, random.next() * MAX_PAUSE_MS, stopped.signal)
    }
  }
  const playing = play()
  return {
    played: () => played,
    stop: async () => {
      stopped.abort()
      await playing
    }
  }
}
