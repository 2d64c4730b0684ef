import { callGateway, jobBody } from '../../../../platform/src/__fixtures__/clients'
import { type Deployment, startDeployment } from '../../../../platform/src/__fixtures__/deployment'
import { createSystemClock } from 'anvilarch-utils'
import { type CommandOutcome, runCommand } from '../__fixtures__/runCommand'

let deployment: Deployment

async function run (words: string[]): Promise<CommandOutcome> {
  return await runCommand(words, {}, createSystemClock())
}

beforeAll(async () => {
  const accounts = [{ name: 'acme', keys: ['acme-key-1', 'acme-key-2'], priority: 1, requestsPerSecond: 5, burst: 10 }, { name: 'bolt', keys: ['bolt-key-1'] }]
  deployment = await startDeployment({ agents: 1, lookups: 1, engine: { eventIntervalMs: 1000 }, routes: { accounts } })
  const { url } = deployment.gateways[0]
  await callGateway(url, { path: '/lots/job1', requestId: 'job1', body: jobBody([{ id: 'i', tokens: 70 }]), headers: { authorization: 'Token acme-key-1' } })
})

afterAll(async () => { await deployment.close() })

describe('anvilarch account', () => {
  it('lists accounts with limits and waiting tokens, but without keys', async () => {
    const { stdout } = await run(['account', 'list', '--address', deployment.store.address])
    expect(stdout).toMatch(/acme +2 +1 +5 +10 +1 +70/)
    expect(stdout).toMatch(/bolt +1 /)
    expect(stdout).not.toContain('key-1')
    const json = (await run(['account', 'list', '--json', '--address', deployment.store.address])).stdout
    expect((JSON.parse(json) as { accounts: unknown[] }).accounts[0]).toMatchObject({ name: 'acme', keyCount: 2, waitingTokens: 70 })
    expect(json).not.toContain('key-1')
  })

  it('shows one account with its jobs, and refers to the list of accounts for an unknown name', async () => {
    expect((await run(['account', 'show', 'acme', '--address', deployment.store.address])).stdout).toMatch(/acme~job1 +open +1/)
    const missing = await run(['account', 'show', 'nobody', '--address', deployment.store.address])
    expect(missing.exitCode).toBe(1)
    expect(missing.stderr).toContain('account list')
  })

  it('lists gateways whose usage could not be read', async () => {
    const { stdout } = await run(['account', 'usage', '--address', deployment.store.address])
    expect(stdout).toContain('Not counted, since they do not answer: gateway-0')
  })
})
