import { mkdtempSync, readFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createSystemClock } from 'anvilarch-utils'
import { call, callForJson } from '../../__fixtures__/callStandin'
import { expectedText } from '../../engine/completionPlan'
import { applyDocument } from '../applyDocument'
import { WORKSPACE_ROOT } from '../fleetPlan'
import { startFleet } from '../startFleet'
import type { Fleet } from '../types'
import { waitFor } from '../waits'

const clock = createSystemClock()
const DOCUMENT = join(WORKSPACE_ROOT, 'examples/demo.jsonc')
const CHAT = '/v1/chat/completions'
const TIMEOUT_MS = 60_000

function isAlive (processId: number): boolean {
  try {
    return process.kill(processId, 0)
  } catch {
    return false
  }
}

/** Starts real processes from the build, which `npm test` creates first. */
describe('startFleet', () => {
  let fleet: Fleet | undefined

  afterEach(async () => { await fleet?.stop() }, TIMEOUT_MS)

  const isServed = async (prompt: string): Promise<boolean> => {
    const body = { model: 'assistant', messages: [{ role: 'user', content: prompt }], max_tokens: 5 }
    const { status, text } = await call(fleet?.callerUrls()[0] + CHAT, { body, headers: { 'content-type': 'application/json' } })
    return status === 200 && JSON.parse(text).choices[0].message.content === expectedText(CHAT, body)
  }

  test('serves through a gateway and an agent, recovers from the loss of the agent and of the engine, and terminates all processes', async () => {
    fleet = await startFleet({ directory: mkdtempSync(join(tmpdir(), 'fleet-')), gateways: 1, modelEndpoints: 1, plainEndpoints: 1, endpointsPerAgent: 2, restartMs: 10, startTimeoutMs: TIMEOUT_MS })
    await applyDocument(fleet.callerUrls()[0], DOCUMENT, readFileSync(DOCUMENT, 'utf8'))
    await fleet.waitReady()
    const waitOptions = { clock, timeoutMs: TIMEOUT_MS, what: 'a response', intervalMs: 200 }
    await waitFor(async () => await isServed('first'), waitOptions)

    await fleet.restart('agent-1', 'SIGKILL')
    await waitFor(async () => await isServed('after the loss of the agent'), waitOptions)

    await fleet.setFaults('engine-1', { crashOn: 'poison' })
    expect(await isServed('poison')).toBe(false)
    await waitFor(async () => await isServed('after the crash of the engine'), waitOptions)
    expect(fleet.get('engine-1')).toMatchObject({ starts: expect.any(Number), lastExit: { code: 70 } })
    expect(await callForJson(`${fleet.get('engine-1').spec.addresses.http}/faults`)).toMatchObject({ crashOn: 'poison' })

    const described = JSON.parse(readFileSync(join(fleet.options.directory, 'fleet.json'), 'utf8'))
    expect(described.processes.map((entry: { pid: number }) => entry.pid)).toEqual(fleet.processes().map(({ processId }) => processId))
    const processIds = fleet.processes().map(({ processId }) => processId ?? 0)
    await fleet.stop()
    expect(processIds.filter(isAlive)).toEqual([])
  }, TIMEOUT_MS * 2)
})
