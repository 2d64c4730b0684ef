import { ROW_KEYS } from 'anvilarch-protocol'
import { createLifecycleManager } from 'anvilarch-utils'
import { createFakeFleet, type FakeFleet } from '../../membership/__fixtures__/fakeAgents'
import { documentText } from '../__fixtures__/documents'
import { applyConfiguration } from '../applyConfiguration'
import { startConfigurationPoll } from '../startConfigurationPoll'

const apply = async (fleet: FakeFleet, variant: number): Promise<unknown> =>
  await applyConfiguration(fleet.context, { documentText: documentText(variant), fileName: 'd', appliedBy: 'ana' })

/** Another daemon at the same platform and on the same clock. */
async function startDaemon (fleet: FakeFleet, onNoSource?: () => Promise<void>): Promise<FakeFleet['context']> {
  const { configuration } = createFakeFleet(0).context
  const context = { ...fleet.context, configuration }
  await startConfigurationPoll(context, { intervalMs: 2000, firstIntervalMs: 500, onNoSource }, createLifecycleManager({ clock: fleet.clock }))
  return context
}

describe('startConfigurationPoll', () => {
  it('takes each new version from the table', async () => {
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

  // Guards against this: a daemon that restarted runs an older document.
  it('asks elsewhere only while it has nothing and the table is down, and else waits for the table', async () => {
    const fleet = createFakeFleet(0)
    await apply(fleet, 1)
    fleet.platform.outage = true
    let asked = 0
    const { configuration } = await startDaemon(fleet, async () => { asked++ })
    await fleet.clock.advanceAsync(5000)
    expect(asked).toBeGreaterThan(3)
    expect(configuration.version()).toBe(0)
    fleet.platform.outage = false
    await fleet.clock.advanceAsync(1000)
    expect(configuration.version()).toBe(1)
    const before = asked
    fleet.platform.outage = true
    await fleet.clock.advanceAsync(60_000)
    expect([configuration.version(), asked]).toEqual([1, before])
  })

  // Guards against this: a daemon that restarts finds no document.
  it('finds the document of every row that it sees, since the object comes first', async () => {
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
