/** Guards against streams that a gateway continues at another software version than the one that began them, over generated faults. */
import { sleep } from 'anvilarch-utils'
import { createOriginFleet, type FleetGateway, type OriginFleet, type OriginKeeping, RETENTION_MS, SERVICE } from '../__fixtures__/originFleet'
import { SETTLING_MS } from '../versionHistory'

const RUNS = Number(process.env.ORIGIN_HISTORIES ?? 30)
const FIRST_SEED = Number(process.env.ORIGIN_HISTORIES_SEED ?? 4301)

/** Where origins are kept; set for comparisons. */
const KEEPING = (process.env.ORIGIN_KEEPING ?? 'peers') as OriginKeeping

const VERSIONS = ['v1', 'v2', 'v3']
const STEP_MS = 50
const STEPS = 400

/** Streams end after this long unless they break. */
const STREAM_MS = 1500

/** Share of datagrams that are lost. */
const DATAGRAM_LOSS = 0.02

/** Clients resume a broken stream after at most this long. */
const MAX_RESUME_DELAY_MS = 400

/** Machines that had a fault within this time count as out of touch. */
const CONTACT_MS = 3000

/** Share of faults that end all gateways at once, as a loss of power does. */
const KILL_ALL_SHARE = 0.1

/** Shares of network partitions (begun or healed) and of process pauses among the faults of single gateways. */
const CUT_SHARE = 0.3
const STANDSTILL_SHARE = 0.3

const MAX_STANDSTILL_MS = 5000

/** Releases of a run in which a gateway is out of step, in short histories. */
const RELEASES = 4 * RUNS

/** Streams that begin in each step of these. */
const STREAMS_IN_RELEASE = 10

/** Half of the streams that break this soon after a standstill are resumed at the gateway that stood still. */
const RECENT_MS = 400

/** Gateways that are killed together are back after at most this long. */
const MAX_DOWN_MS = 2000

/** A client that finds no gateway tries again after this long. */
const NO_GATEWAY_RETRY_MS = 200

interface OpenStream {
  requestId: string
  softwareVersion: string
  gateway: FleetGateway
  beganAtMs: number
}

interface Tally {
  streams: number
  datagrams: number
  storeWrites: number
  storeReads: number
  mixed: string[]
  /** Streams that mix a version that no row of the store has named since they began, so that no other gateway can know of it. */
  mixedWithoutRow: string[]
  resumedInTouch: number
  wentOnInTouch: number
}

async function resume (fleet: OriginFleet, stream: OpenStream, tally: Tally): Promise<void> {
  await sleep(fleet.clock, fleet.random.between(1, MAX_RESUME_DELAY_MS))
  const findGateway = (): FleetGateway | undefined => {
    const alive = fleet.gateways.filter(gateway => gateway.alive && gateway.endpoints.hasListing())
    if (alive.length === 0) return undefined
    const recentlyStill = alive.filter(gateway => gateway.stillUntilMs > fleet.clock.nowMs() - RECENT_MS)
    return fleet.random.pick(recentlyStill.length > 0 && fleet.random.next() < 0.5 ? recentlyStill : alive)
  }
  for (let waitedMs = 0; findGateway() === undefined && waitedMs < RETENTION_MS / 2; waitedMs += NO_GATEWAY_RETRY_MS) await sleep(fleet.clock, NO_GATEWAY_RETRY_MS)
  const gateway = findGateway()
  if (gateway === undefined) return
  await fleet.running(gateway)
  if (!gateway.alive) return
  const isInTouch = gateway.inTouch && fleet.clock.nowMs() - gateway.calmSinceMs > CONTACT_MS
  const result = await gateway.origins.resolve(stream.requestId, [SERVICE])
  const allowed = result.resolution === 'bound' ? [result.origin.softwareVersion] : result.resolution === 'single' ? [...result.versions.values()] : []
  if (allowed.some(version => version !== stream.softwareVersion)) {
    const mixed = fleet.isRecorded(stream.softwareVersion, stream.beganAtMs) ? tally.mixed : tally.mixedWithoutRow
    mixed.push(`${stream.requestId}: ${result.resolution}`)
  }
  // A client can only resume while the version serves.
  if (!isInTouch || !fleet.storeVersions().includes(stream.softwareVersion)) return
  tally.resumedInTouch++
  if (allowed.length > 0) tally.wentOnInTouch++
}

function begin (fleet: OriginFleet, open: OpenStream[], requestId: string): void {
  const running = fleet.gateways.filter(gateway => gateway.alive && gateway.stillUntilMs <= fleet.clock.nowMs())
  if (running.length === 0) return
  const gateway = fleet.random.pick(running)
  const softwareVersion = fleet.versionForNewStream(gateway)
  // A gateway cut off from the store may know an endpoint that is gone, and gets no events from it.
  if (softwareVersion === undefined || !fleet.storeVersions().includes(softwareVersion)) return
  gateway.origins.onStarted(requestId, { service: SERVICE, softwareVersion })
  open.push({ requestId, softwareVersion, gateway, beganAtMs: fleet.clock.nowMs() })
}

function endOld (fleet: OriginFleet, open: OpenStream[]): OpenStream[] {
  return open.filter(stream => {
    if (fleet.clock.nowMs() - stream.beganAtMs < STREAM_MS) return true
    stream.gateway.origins.onEnded(stream.requestId)
    return false
  })
}

function changeVersions (fleet: OriginFleet): void {
  const version = fleet.random.pick(VERSIONS)
  const listed = fleet.storeVersions()
  if (!listed.includes(version)) fleet.setListed(version, true)
  else if (listed.length > 1) fleet.setListed(version, false)
}

/** Replaces the only versions by another one, as a release does that ends while no gateway runs. */
function replaceVersions (fleet: OriginFleet): void {
  const next = fleet.random.pick(VERSIONS)
  for (const version of fleet.storeVersions()) fleet.setListed(version, false)
  fleet.setListed(next, true)
}

/** Kills all gateways at once; each is back after a time of its own. @returns the streams that this has broken */
function killAll (fleet: OriginFleet, open: readonly OpenStream[]): OpenStream[] {
  const killed = fleet.gateways.filter(gateway => gateway.alive)
  killed.forEach(fleet.kill)
  for (const gateway of killed) fleet.clock.after(fleet.random.between(10, MAX_DOWN_MS), () => { fleet.restart(gateway) })
  if (fleet.random.next() < 0.5) fleet.clock.after(fleet.random.between(1, MAX_DOWN_MS), () => replaceVersions(fleet))
  return [...open]
}

/** @returns the streams that the fault has broken */
function injectFault (fleet: OriginFleet, open: readonly OpenStream[]): OpenStream[] {
  if (fleet.random.next() < KILL_ALL_SHARE) return killAll(fleet, open)
  fleet.setWriteFailureShare(fleet.random.pick([0, 0, 0.5, 1]))
  const gateway = fleet.random.pick(fleet.gateways)
  if (!gateway.alive) {
    fleet.restart(gateway)
    return []
  }
  gateway.calmSinceMs = fleet.clock.nowMs()
  const fault = fleet.random.next()
  if (fault < CUT_SHARE) {
    fleet.setInTouch(gateway, !gateway.inTouch)
    return []
  }
  if (fault < CUT_SHARE + STANDSTILL_SHARE) {
    fleet.standStill(gateway, fleet.random.between(100, MAX_STANDSTILL_MS), fleet.random.pick(['stopped', 'suspended']))
    return []
  }
  fleet.kill(gateway)
  return open.filter(stream => stream.gateway === gateway)
}

async function run (seed: number): Promise<Tally> {
  const fleet = createOriginFleet(seed, gatewayCountOf(seed), DATAGRAM_LOSS, KEEPING)
  const tally = emptyTally()
  const resuming: Array<Promise<void>> = []
  // In some fleets versions coexist most of the time, in others a service has one version until it is replaced.
  const changeShare = fleet.random.pick([0, 0.005, 0.05])
  let open: OpenStream[] = []
  await fleet.advance(RETENTION_MS / 2)
  for (let step = 0; step < STEPS; step++) {
    begin(fleet, open, `r${step}`)
    begin(fleet, open, `q${step}`)
    if (fleet.random.next() < changeShare) changeVersions(fleet)
    if (fleet.random.next() < 0.06) {
      const broken = injectFault(fleet, open)
      open = open.filter(stream => !broken.includes(stream))
      resuming.push(...broken.map(async stream => await resume(fleet, stream, tally)))
    }
    await fleet.advance(STEP_MS)
    open = endOld(fleet, open)
  }
  await fleet.advance(RETENTION_MS)
  await Promise.all(resuming)
  for (const gateway of fleet.gateways) gateway.stop()
  return { ...tally, streams: 2 * STEPS, ...fleet.costs() }
}

/** A gateway is out of step while a version is listed and begins streams; one that began them is killed, and clients resume them. */
async function runRelease (seed: number): Promise<Tally> {
  const fleet = createOriginFleet(seed, gatewayCountOf(seed), DATAGRAM_LOSS, KEEPING)
  const { random, clock } = fleet
  const tally = emptyTally()
  let open: OpenStream[] = []
  await fleet.advance(RETENTION_MS / 2 + random.between(0, 1000))
  const outOfStep = random.pick(fleet.gateways)
  const killed = random.pick(fleet.gateways.filter(gateway => gateway !== outOfStep))
  const listedAfterMs = random.between(0, RECENT_MS)
  const durationMs = listedAfterMs + random.between(SETTLING_MS, 2 * SETTLING_MS)
  takeOutOfStep(fleet, outOfStep, durationMs)
  clock.after(listedAfterMs, () => fleet.setListed('v2', true))
  if (random.next() < 0.3) clock.after(durationMs, () => fleet.setListed('v2', false))
  const endMs = clock.nowMs() + durationMs - random.between(0, RECENT_MS)
  for (let step = 0; clock.nowMs() < endMs; step++) {
    for (let index = 0; index < STREAMS_IN_RELEASE; index++) begin(fleet, open, `r${step}-${index}`)
    await fleet.advance(STEP_MS)
    open = endOld(fleet, open)
  }
  fleet.kill(killed)
  const resuming = open.filter(stream => stream.gateway === killed).map(async stream => await resume(fleet, stream, tally))
  await fleet.advance(RETENTION_MS)
  await Promise.all(resuming)
  for (const gateway of fleet.gateways) gateway.stop()
  return tally
}

function takeOutOfStep (fleet: OriginFleet, gateway: FleetGateway, durationMs: number): void {
  const fault = fleet.random.pick(['stopped', 'suspended', 'cut'] as const)
  if (fault !== 'cut') {
    fleet.standStill(gateway, durationMs, fault)
    return
  }
  fleet.setInTouch(gateway, false)
  fleet.clock.after(durationMs, () => fleet.setInTouch(gateway, true))
}

function emptyTally (): Tally {
  return { streams: 0, datagrams: 0, storeWrites: 0, storeReads: 0, mixed: [], mixedWithoutRow: [], resumedInTouch: 0, wentOnInTouch: 0 }
}

/** @returns the number of gateways of a run */
function gatewayCountOf (seed: number): number {
  return 4 + seed % 6
}

/** Runs histories and prints their sum, if they were asked for. */
async function sumOf (firstSeed: number, count: number, runHistory: (seed: number) => Promise<Tally>): Promise<Tally> {
  const total = emptyTally()
  for (let seed = firstSeed; seed < firstSeed + count; seed++) {
    const tally = await runHistory(seed)
    for (const list of ['mixed', 'mixedWithoutRow'] as const) total[list].push(...tally[list].map(text => `seed ${seed}, ${text}`))
    for (const counter of ['streams', 'datagrams', 'storeWrites', 'storeReads', 'resumedInTouch', 'wentOnInTouch'] as const) total[counter] += tally[counter]
  }
  if (process.env.ORIGIN_HISTORIES !== undefined) process.stdout.write(`${JSON.stringify(total)}\n`)
  return total
}

describe('streams that clients resume while versions and gateways come and go', () => {
  it('go on at the version that began them, or are refused', async () => {
    const total = await sumOf(FIRST_SEED, RUNS, run)
    expect(total.mixed).toEqual([])
    expect(total.mixedWithoutRow).toEqual([])
    expect(total.resumedInTouch).toBeGreaterThan(RUNS)
    expect(total.wentOnInTouch).toBeGreaterThanOrEqual(total.resumedInTouch / 2)
  }, 180_000)

  // Guards against a gateway that takes a list for new because it has just read it.
  it('go on at the version that began them at a gateway that was out of step while a version was listed', async () => {
    const total = await sumOf(FIRST_SEED, RELEASES, runRelease)
    expect(total.mixed).toEqual([])
    expect(total.mixedWithoutRow).toEqual([])
    expect(total.resumedInTouch).toBeGreaterThan(RELEASES)
    expect(total.wentOnInTouch).toBeGreaterThanOrEqual(total.resumedInTouch / 2)
  }, 180_000)
})
