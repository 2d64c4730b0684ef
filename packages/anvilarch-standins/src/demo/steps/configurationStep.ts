/** Step 1: applies a configuration document to every daemon. */
import { callJson, waitFor } from '../../fleet/waits'
import { runCommand } from '../commandLine'
import { type DemoContext, type DemoStep, expectThat } from '../types'

const DISCOVERY_TIMEOUT_MS = 15_000
const MODEL_LOAD_TIMEOUT_MS = 20_000

/** Applies the document and waits until it is in force in every daemon and every engine has loaded its model. */
export const configurationStep: DemoStep = {
  title: 'A configuration document is applied and in force in every daemon',
  run: async context => {
    const { fleet } = context
    const daemonCount = fleet.processes('gateway').length + fleet.processes('agent').length
    await waitForDiscovery(context, daemonCount)
    const applied = await runCommand<{ version: number, inForce: boolean, waitedMs: number, daemons: unknown[] }>(context, 'config', 'apply', context.documentFile, '--wait', '20')
    expectThat(applied.inForce, () => `version ${applied.version} is not in force everywhere: ${JSON.stringify(applied.daemons)}`)
    expectThat(applied.daemons.length === daemonCount, () => `the gateway has discovered ${applied.daemons.length} of ${daemonCount} daemons: ${JSON.stringify(applied.daemons)}`)
    await fleet.waitReady()
    await waitForModels(context)
    return `version ${applied.version} in force in ${daemonCount} daemons ${(applied.waitedMs / 1000).toFixed(1)} s after it was accepted; ${fleet.processes('engine').length} engines have loaded their model`
  }
}

/** Waits until the gateway has discovered all daemons. `config apply --wait` covers only these, which just after the start may be a part. */
async function waitForDiscovery (context: DemoContext, daemonCount: number): Promise<void> {
  await waitFor(async () => {
    const status = await runCommand<{ gateways: unknown[], agents: unknown[] }>(context, 'status')
    return status.gateways.length + status.agents.length === daemonCount
  }, { clock: context.clock, timeoutMs: DISCOVERY_TIMEOUT_MS, what: `${daemonCount} daemons to discover each other` })
}

/** Waits until the models are loaded, which the placement orders once the document is in force. Until then, callers get a `Retry-After`. */
async function waitForModels ({ fleet, clock }: DemoContext): Promise<void> {
  await waitFor(async () => {
    const models = await Promise.all(fleet.processes('engine').map(async ({ spec }) => await callJson<{ models: Array<{ state: string }> }>('GET', `${spec.addresses.http}/models`)))
    return models.every(response => response.models.some(({ state }) => state === 'ready'))
  }, { clock, timeoutMs: MODEL_LOAD_TIMEOUT_MS, what: 'every engine to load its model' })
}
