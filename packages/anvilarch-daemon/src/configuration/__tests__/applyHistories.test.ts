import fc from 'fast-check'
import { type Clock, createRandom, SILENT_LOGGER } from 'anvilarch-utils'
import { ROW_KEYS, type ConfigurationVersionRow } from 'anvilarch-protocol'
import { createFakePlatform } from '../../platform/__fixtures__/fakePlatform'
import { createMetrics } from '../../metrics/createMetrics'
import { createTimeline } from '../../timeline/createTimeline'
import { documentText } from '../__fixtures__/documents'
import { applyConfiguration, type ApplyResult } from '../applyConfiguration'
import { createConfigurationHolder } from '../createConfigurationHolder'
import type { ConfigurationHolder } from '../types'

const SEED = 20261202
const RUNS = Number(process.env.ANVILARCH_RUNS ?? 300)

/** A call of an operator: its gateway, its document, and the expected version if it names one. */
interface Call { gateway: number, variant: number, ifVersion: number | undefined, appliedBy: string }

/** Outcome of a call for its operator. */
interface CallOutcome { call: Call, result?: ApplyResult, ran?: string }

interface History { calls: Call[], lost: boolean[], outages: boolean[], outcomes: CallOutcome[], rows: ConfigurationVersionRow[], seen: number[][] }

async function runHistory (scheduler: fc.Scheduler, plan: { calls: Call[], lost: boolean[], outages: boolean[] }): Promise<History> {
  const platform = createFakePlatform()
  const lost = [...plan.lost]
  const outages = [...plan.outages]
  platform.dropsResponse = () => lost.shift() ?? false
  platform.step = async name => {
    await scheduler.schedule(Promise.resolve(), name)
    platform.outage = outages.shift() ?? false
  }
  const clock = scheduledClock(scheduler)
  const seen: number[][] = []
  const gateways = [0, 1, 2].map(() => createGateway(clock, seen))
  const outcomes: CallOutcome[] = []
  const applyCall = async (call: Call): Promise<void> => {
    const input = { documentText: documentText(call.variant), fileName: 'document', ifVersion: call.ifVersion, appliedBy: call.appliedBy }
    const context = { ...gateways[call.gateway], clock, platform, random: createRandom(SEED) }
    try {
      outcomes.push({ call, result: await applyConfiguration(context, input) })
    } catch (error) {
      outcomes.push({ call, ran: (error as { ran: string }).ran })
    }
  }
  const all = Promise.all(plan.calls.map(applyCall))
  await scheduler.waitFor(all)
  const rows = platform.committed.map(commit => JSON.parse(commit.writes[0].value as string) as ConfigurationVersionRow)
  expect(platform.committed.every(commit => commit.writes[0].key === ROW_KEYS.configurationVersion)).toBe(true)
  return { ...plan, outcomes, rows, seen }
}

/** A clock whose timers fire in an order that the scheduler chooses. */
function scheduledClock (scheduler: fc.Scheduler): Clock {
  let nowMs = 0
  return {
    nowMs: () => nowMs,
    wallMs: () => nowMs,
    after: (delayMs, onFire) => {
      let cancelled = false
      scheduler.schedule(Promise.resolve(), 'timer').then(() => {
        nowMs += delayMs
        if (!cancelled) onFire()
      })
      return { cancel: () => { cancelled = true } }
    }
  }
}

function createGateway (clock: Clock, seen: number[][]): { configuration: ConfigurationHolder, timeline: ReturnType<typeof createTimeline> } {
  const timeline = createTimeline({ clock, process: 'gateway', capacity: 100 })
  const configuration = createConfigurationHolder({ logger: SILENT_LOGGER, metrics: createMetrics(), timeline })
  const versions: number[] = []
  seen.push(versions)
  configuration.onChange(({ version }) => { versions.push(version) })
  return { configuration, timeline }
}

function expectConsistent (history: History): void {
  const { rows, outcomes, seen } = history
  expect(rows.map(row => row.version)).toEqual(rows.map((_row, index) => index + 1))
  for (const versions of seen) expect(versions).toEqual([...versions].sort((left, right) => left - right))
  for (const { call, result, ran } of outcomes) {
    const written = rows.filter(row => row.appliedBy === call.appliedBy)
    expect(written.length).toBeLessThanOrEqual(1)
    if (result?.outcome === 'applied' && result.changed) expect(written).toEqual([expect.objectContaining({ version: result.version, hash: result.hash })])
    else if (result !== undefined || ran === 'not_run') expect(written).toEqual([])
    if (result?.outcome === 'applied') expect(rows[result.version - 1].hash).toBe(result.hash)
    if (result?.outcome === 'conflict' && result.version > 0) expect(rows[result.version - 1]).toBeDefined()
  }
}

const callArbitrary = (index: number): fc.Arbitrary<Call> => fc.record({
  gateway: fc.nat(2), variant: fc.nat(3), ifVersion: fc.option(fc.nat(2), { nil: undefined }), appliedBy: fc.constant(`operator-${index}`)
})

describe('applyConfiguration', () => {
  // Guards against two operators that both get the same version for their documents, or one that gets "not run" although its
  // document is in force.
  it.each([2, 5])('accepts one document for each version when %d operators apply concurrently', async operators => {
    const calls = fc.tuple(...Array.from({ length: operators }, (_unused, index) => callArbitrary(index)))
    const faults = fc.array(fc.boolean(), { maxLength: 40 })
    await fc.assert(fc.asyncProperty(fc.scheduler(), calls, faults, faults, async (scheduler, chosen, lost, outages) => {
      expectConsistent(await runHistory(scheduler, { calls: chosen, lost, outages }))
    }), { seed: SEED, numRuns: RUNS })
  })

  it('reports no change when the same document is applied again', async () => {
    const platform = createFakePlatform()
    const gateway = { ...createGateway(scheduledClock(fc.sample(fc.scheduler(), 1)[0]), []), platform, random: createRandom(1), clock: { nowMs: () => 0, wallMs: () => 5, after: () => ({ cancel: () => {} }) } }
    const input = { documentText: documentText(1), fileName: 'document', appliedBy: 'ana' }
    expect(await applyConfiguration(gateway, input)).toMatchObject({ outcome: 'applied', version: 1, changed: true })
    expect(await applyConfiguration(gateway, { ...input, documentText: `// a comment\n${documentText(1)}`, ifVersion: 0 })).toMatchObject({ version: 1, changed: false })
    expect(await applyConfiguration(gateway, { ...input, documentText: documentText(2), ifVersion: 0 })).toEqual({ outcome: 'conflict', version: 1 })
    expect(await applyConfiguration(gateway, { ...input, documentText: '{' })).toMatchObject({ outcome: 'not_valid' })
  })
})

describe('createConfigurationHolder', () => {
  it('accepts only a higher version whose text matches its hash and is valid', async () => {
    const platform = createFakePlatform()
    const clock = { nowMs: () => 0, wallMs: () => 0, after: () => ({ cancel: () => {} }) }
    const first = createGateway(clock, [])
    await applyConfiguration({ ...first, platform, clock, random: createRandom(1) }, { documentText: documentText(1), fileName: 'd', appliedBy: 'ana' })
    const { hash, documentJson } = first.configuration.current() as { hash: string, documentJson: string }
    const { configuration } = createGateway(clock, [])
    expect(configuration.offer({ version: 3, hash: 'f00', documentJson })).toBe('invalid')
    expect(configuration.version()).toBe(0)
    expect(configuration.offer({ version: 3, hash, documentJson })).toBe('applied')
    expect(configuration.offer({ version: 2, hash, documentJson })).toBe('not_newer')
    expect(configuration.offer({ version: 3, hash, documentJson })).toBe('not_newer')
    expect(configuration.version()).toBe(3)
  })
})
