/** Guards against requests that crash engines by a part that they share, and against the refusal of sound ones, over generated fleets. */
import { CONTACT_MS, CRASHING_PART, createCrashFleet } from '../__fixtures__/crashFleet'

const RUNS = Number(process.env.CRASH_HISTORIES ?? 20)
const FIRST_SEED = Number(process.env.CRASH_HISTORIES_SEED ?? 7101)

const CALM_MS = 8000
const CRASHING_MS = 45_000
const STEP_MS = 10

const FIRST_PARTS = 8
const SUBJECTS = 700

/** Requests with the part that may reach engines later than the contact time after the fifth crash. */
const MAX_LATER_RUNS = 3

interface Outcome {
  crashes: number
  laterRuns: number
  calmShare: number
  laterShare: number
}

async function play (seed: number): Promise<Outcome> {
  const fleet = createCrashFleet({ seed, gateways: 2 + seed % 9, engines: 4 + seed % 7 })
  const { clock, random } = fleet
  const soundPerStep = (10 + random.between(0, 20)) * STEP_MS / 1000
  const crashingPerStep = (1 + random.between(0, 12)) * STEP_MS / 1000
  const restartsPerStep = random.pick([0, 0, 0.2, 0.5]) * STEP_MS / 1000
  const sound: Array<{ atMs: number, sharesFirstPart: boolean, begun: boolean }> = []
  const startMs = clock.nowMs()
  const isCrashingTime = (): boolean => clock.nowMs() - startMs > CALM_MS
  while (clock.nowMs() - startMs < CALM_MS + CRASHING_MS) {
    if (random.next() < soundPerStep) {
      const first = random.between(0, FIRST_PARTS - 1)
      const request = { atMs: clock.nowMs(), sharesFirstPart: first === 0, begun: false }
      sound.push(request)
      fleet.send([`first${first}`, `subject${random.between(0, SUBJECTS - 1)}`], () => { request.begun = true })
    }
    if (isCrashingTime() && random.next() < crashingPerStep) fleet.send(['first0', CRASHING_PART], () => {})
    if (random.next() < restartsPerStep) fleet.restartGateway()
    await clock.advanceAsync(STEP_MS)
  }
  const fifthMs = fleet.crashedAtMs[4] ?? fleet.crashedAtMs.at(-1) ?? clock.nowMs()
  const shareOf = (requests: typeof sound): number => requests.length === 0 ? 1 : requests.filter(request => request.begun).length / requests.length
  const sharing = sound.filter(request => request.sharesFirstPart)
  return {
    crashes: fleet.crashedAtMs.length,
    laterRuns: fleet.crashingRuns.filter(run => run.atMs > fifthMs + CONTACT_MS && run.inTouch).length,
    calmShare: shareOf(sharing.filter(request => request.atMs - startMs < CALM_MS)),
    laterShare: shareOf(sharing.filter(request => request.atMs > fifthMs + 2 * CONTACT_MS))
  }
}

describe('a prompt part that crashes engines, over generated fleets', () => {
  it('soon reaches no engine any more, while requests that share its first part are served', async () => {
    const violations: string[] = []
    let crashes = 0
    for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
      const outcome = await play(seed)
      crashes += outcome.crashes
      if (outcome.laterRuns > MAX_LATER_RUNS || outcome.laterShare < outcome.calmShare / 2) violations.push(`seed ${seed}: ${JSON.stringify(outcome)}`)
    }
    if (process.env.CRASH_HISTORIES !== undefined) process.stdout.write(`${JSON.stringify({ meanCrashes: crashes / RUNS, violations })}\n`)
    expect(violations).toEqual([])
  }, 180_000)
})

describe('a request that crashes engines, in a quiet hour', () => {
  // Guards against crashes that no gateway attributes to the request, since nothing else uses the engines.
  it('soon reaches no engine any more, however often it is sent', async () => {
    const violations: string[] = []
    for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
      const fleet = createCrashFleet({ seed, gateways: 2 + seed % 5, engines: 3 + seed % 4, isQuiet: true })
      const intervalMs = fleet.random.pick([500, 1000, 2000, 4000])
      for (let sent = 0; sent < 30; sent++) {
        fleet.sendCrashing()
        if (fleet.random.next() < 0.2) fleet.send([], () => {})
        await fleet.clock.advanceAsync(intervalMs)
      }
      const thirdMs = fleet.crashedAtMs[2] ?? Infinity
      const laterRuns = fleet.crashingRuns.filter(run => run.atMs > thirdMs + CONTACT_MS).length
      if (laterRuns > MAX_LATER_RUNS) violations.push(`seed ${seed}: ${laterRuns} runs after the contact time, ${fleet.crashedAtMs.length} crashes`)
    }
    expect(violations).toEqual([])
  })
})
