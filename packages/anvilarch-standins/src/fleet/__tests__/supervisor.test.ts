import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createSystemClock } from 'anvilarch-utils'
import { CRASH_EXIT_CODE } from '../../common/standinServer'
import { createSupervisor, type Supervisor } from '../supervisor'
import type { ProcessSpec } from '../types'
import { waitFor } from '../waits'

const clock = createSystemClock()

/** @returns the supervisor of a process that runs one line of script */
function supervise (line: string): Supervisor {
  const spec: ProcessSpec = { name: 'child', role: 'engine', script: '-e', arguments: [line], addresses: {}, aliveUrl: '', readyUrl: '' }
  return createSupervisor(spec, {
    clock,
    logFile: join(mkdtempSync(join(tmpdir(), 'supervisor-')), 'child.log'),
    restartDelayMs: (_, exit) => exit.code === CRASH_EXIT_CODE ? 1 : undefined,
    onChange: () => {}
  })
}

describe('createSupervisor', () => {
  let supervisor: Supervisor

  // A child that is restarted repeatedly would outlive a test that fails.
  afterEach(async () => {
    supervisor.disableRestart()
    supervisor.kill('SIGKILL')
    await supervisor.exited()
  })

  test('restarts a process that was crashed by a request, until restarts are disabled', async () => {
    supervisor = supervise(`process.exit(${CRASH_EXIT_CODE})`)
    supervisor.spawn()
    await waitFor(() => supervisor.process.starts >= 3, { clock, timeoutMs: 20_000, what: 'three starts' })
    supervisor.disableRestart()
    expect((await supervisor.exited()).code).toBe(CRASH_EXIT_CODE)
  })

  test('does not restart a process that exited for another reason', async () => {
    supervisor = supervise('setInterval(() => {}, 1000)')
    supervisor.spawn()
    supervisor.kill('SIGKILL')
    expect(await supervisor.exited()).toEqual({ code: null, signal: 'SIGKILL' })
    expect(supervisor.process).toMatchObject({ processId: undefined, starts: 1 })
  })
})
