import { ROW_KEYS } from 'anvilarch-protocol'
import { createLifecycleManager } from 'anvilarch-utils'
import { createFakeFleet, type FakeFleet } from '../../membership/__fixtures__/fakeAgents'
import { documentText } from '../__fixtures__/documents'
import { applyConfiguration } from '../applyConfiguration'
import { startConfigurationPoll } from '../startConfigurationPoll'

const apply = async (fleet: FakeFleet, variant: number): Promise<unknown> =>
  await applyConfiguration(fleet.context, { documentText: documentText(variant), fileName: 'd', appliedBy: 'ana' })

/** Starts another daemon with the same platform and clock. */
async function startDaemon (fleet: FakeFleet, onNoSource?: () => Promise<void>): Promise<FakeFleet['context']> {
  const { configuration } = createFakeFleet(0).context
  const context = { ...fleet.context, configuration }
  await startConfigurationPoll(context, { intervalMs: 2000, firstIntervalMs: 500, onNoSource }, createLifecycleManager({ clock: fleet.clock }))
  return context
}

describe('startConfigurationPoll', () => {
  it('applies each new version from the table', async () => {
    const fleet = createFakeFleet(0)
    const { configuration } = await startDaemon(fleet)
    await fleet.clock.advanceAsync(1000)
    expect(configuration.version()).toBe(0)
    await apply(fleet, 1)
    await apply(fleet, 2)
    await fleet.clock.advanceAsync(1000)
    expect(configuration.version()).toBe(2)
    await apply(fleet, 3)
    await fleet.clock.advanceAsync(3000)
    expect(configuration.version()).toBe(3)
  })

  // Guards against a restarted daemon that runs an older document.
  it('uses another source only while it has no configuration and the table is unavailable', async () => {
    const fleet = createFakeFleet(0)
    await apply(fleet, 1)
    fleet.platform.outage = true
    let fallbackCalls = 0
    const { configuration } = await startDaemon(fleet, async () => { fallbackCalls++ })
    await fleet.clock.advanceAsync(5000)
    expect(fallbackCalls).toBeGreaterThan(3)
    expect(configuration.version()).toBe(0)
    fleet.platform.outage = false
    await fleet.clock.advanceAsync(1000)
    expect(configuration.version()).toBe(1)
    const callsBefore = fallbackCalls
    fleet.platform.outage = true
    await fleet.clock.advanceAsync(60_000)
    expect([configuration.version(), fallbackCalls]).toEqual([1, callsBefore])
  })

  // Guards against a restarted daemon that finds no document for the row.
  it('finds the document of each row, since the object is stored first', async () => {
    const fleet = createFakeFleet(0)
    const found: boolean[] = []
    fleet.platform.step = async () => {
      const row = fleet.platform.rows.get(ROW_KEYS.configurationVersion)
      if (row !== undefined) found.push(fleet.platform.objects.stored.has(`config/${(JSON.parse(row.value) as { hash: string }).hash}`))
    }
    for (const variant of [1, 2, 3]) await apply(fleet, variant)
    expect(found.length).toBeGreaterThan(3)
    expect(found.every(Boolean)).toBe(true)
  })
})
