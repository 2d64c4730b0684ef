import type { TimelineEvent } from 'anvilarch-protocol'
import { type FakeGateway, startFakeGateway, unusedUrl } from '../__fixtures__/fakeGateway'
import { type CommandOutcome, runCommand } from '../__fixtures__/runCommand'
import { shownHealth } from '../output/endpoints'
import { mergeEvents } from '../timeline/mergeEvents'

let gateway: FakeGateway
let agent: FakeGateway

beforeEach(async () => {
  gateway = await startFakeGateway('')
  agent = await startFakeGateway('')
})

afterEach(async () => {
  await gateway.close()
  await agent.close()
})

const run = (...words: string[]): Promise<CommandOutcome> => runCommand([...words, '--gateway', gateway.url])
const addressOf = (url: string): string => url.replace('http://', '')
const event = (process: string, sequence: number, atMs: number): TimelineEvent => ({ process, sequence, atMs, event: 'attempts.started', detail: { endpoint: 'engine-1' } })

describe('service list and endpoint list', () => {
  it('lists services with their replicas', async () => {
    expect((await run('service', 'list')).stdout).toMatch(/lookup +plain +- +1\/2 +lookup/)
  })

  it('lists endpoints', async () => {
    expect((await run('endpoint', 'list')).stdout).toMatch(/engine-1 +agent-1 +serving +model +assistant +ready/)
  })
})

describe('endpoint drain', () => {
  it('drains an agent', async () => {
    expect((await run('endpoint', 'drain', 'agent-1', '--json')).json()).toEqual({ agent: 'agent-1', running: 2 })
  })

  it('exits with 1 for an unknown agent', async () => {
    const outcome = await run('endpoint', 'drain', 'agent-9')
    expect(outcome.exitCode).toBe(1)
    expect(outcome.stderr).toContain('There is no such page.\n  where: page.find')
    expect(outcome.stderr).toContain('what to do: Run "anvilarch endpoint list"')
  })
})

describe('status', () => {
  it('shows gateways, agents and jobs', async () => {
    const { stdout } = await run('status')
    expect(stdout).toContain('configuration  version 1, in force in every live daemon')
    expect(stdout).toMatch(/agent-1 +serving +1 +host-1 +domain-a/)
  })
})

describe('a gateway address other than the one for callers', () => {
  it('is mentioned in the hint of the error', async () => {
    gateway.state.errorResponses['/admin/v1/status'] = [{ status: 404, body: { error: 'No page "/admin/v1/status".' } }]
    expect((await run('status')).stderr).toMatch(/error: No page[^]*what to do: Check that --gateway names the callers' address/)
  })
})

describe('timeline', () => {
  beforeEach(() => {
    gateway.state.timeline = [event('gateway-1', 1, 1000), event('gateway-1', 2, 1030)]
    agent.state.timeline = [event('agent-2', 1, 1010)]
    gateway.state.otherAgents = [{ name: 'agent-2', operationsAddress: addressOf(agent.url) }]
  })

  it('merges the events of all daemons', async () => {
    const outcome = await run('timeline', '--request', 'req_1', '--json')
    expect(outcome.json().events.map((found: TimelineEvent) => found.process)).toEqual(['gateway-1', 'agent-2', 'gateway-1'])
    expect(agent.state.requests[0].path).toBe('/timeline?request=req_1')
  })

  it('prints a table with the time since the first event', async () => {
    expect((await run('timeline', '--job', 'batch_1')).stdout).toMatch(/\+10 +agent-2 +attempts\.started +- +endpoint=engine-1\n/)
  })

  it('uses the singular for one process', async () => {
    agent.state.timeline = []
    expect((await run('timeline', '--request', 'req_1')).stdout).toContain('2 events of 1 process; 2 of 2 daemons answered')
  })

  it('lists the daemons that do not respond', async () => {
    gateway.state.otherAgents.push({ name: 'agent-3', operationsAddress: addressOf(await unusedUrl()) })
    const outcome = await run('timeline', '--request', 'req_1')
    expect(outcome.exitCode).toBe(0)
    expect(outcome.stdout).toMatch(/2 of 3 daemons answered\n {2}missing: agent-3 at 127/)
  })

  it('requires either a request or a job', async () => {
    expect((await run('timeline')).exitCode).toBe(2)
    expect((await run('timeline', '--job', 'a', '--request', 'b')).exitCode).toBe(2)
  })
})

describe('mergeEvents', () => {
  it('sorts by wall-clock time, then process, then sequence, and removes duplicates', () => {
    const lists = [[event('b', 2, 5), event('b', 1, 5)], [event('a', 9, 5), event('c', 1, 4)], [event('a', 9, 5)]]
    expect(mergeEvents(lists).map(({ process, sequence }) => `${process}${sequence}`)).toEqual(['c1', 'a9', 'b1', 'b2'])
  })
})

describe('mergeEvents of a process whose wall clock was set back', () => {
  // Guards against an attempt that is shown to end before it starts.
  it('keeps the order of the sequence', () => {
    const lists = [[event('a', 1, 100), event('a', 2, 60), event('a', 3, 140)], [event('b', 1, 120)]]
    expect(mergeEvents(lists).map(({ process, sequence }) => `${process}${sequence}`)).toEqual(['a1', 'a2', 'b1', 'a3'])
  })
})

describe('shownHealth', () => {
  it('does not show an endpoint as ready if its agent is unreachable', () => {
    expect([shownHealth('ready', 'unreachable'), shownHealth('ready', 'serving'), shownHealth('crashed', 'draining')]).toEqual(['unknown', 'ready', 'crashed'])
  })
})

describe('command line', () => {
  it('shows commands and exit codes in the help', async () => {
    const { stdout, exitCode } = await runCommand(['--help'])
    expect(exitCode).toBe(0)
    expect(stdout).toContain('timeline')
    expect(stdout).toContain('6 - the wait ended')
  })

  it.each([
    'config validate', 'config apply', 'config show', 'config diff', 'config status', 'job submit', 'job show', 'job results',
    'job cancel', 'job list', 'service list', 'endpoint list', 'endpoint drain', 'status', 'timeline'
  ])('shows an example in the help of %s', async name => {
    const { stdout, exitCode } = await runCommand([...name.split(' '), '--help'], { ANVILARCH_API_KEY: 'secret' })
    expect(exitCode).toBe(0)
    expect(stdout).toContain(`  anvilarch ${name}`)
    expect(stdout).not.toContain('secret')
  })

  it.each([[['config', 'aply']], [['job', 'show']], [['status', '--gatway', 'x']], [['config', 'status', '--wait=soon']]])('exits with 2 for %j', async words => {
    const outcome = await runCommand(words)
    expect(outcome.exitCode).toBe(2)
    expect(outcome.stderr).not.toBe('')
  })

  it('prints a usage error as JSON', async () => {
    const outcome = await runCommand(['--json', 'config', 'aply'])
    expect(outcome.exitCode).toBe(2)
    expect(outcome.json().error).toMatchObject({ code: 'bad_request', exitCode: 2 })
  })
})
