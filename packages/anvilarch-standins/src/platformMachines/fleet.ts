/** Real processes of gateways and agents, started with the commands of the deploy file. */
import { type ChildProcess, spawn } from 'node:child_process'
import { createWriteStream, readFileSync, type WriteStream, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import type { Clock } from 'anvilarch-utils'

/** Host with one daemon. */
export interface PlatformMachine {
  name: string
  /** Role in the deploy file. */
  role: string
  ip: string
  logPath: string
  /** `stopping`: from SIGTERM until the exit. */
  state: 'running' | 'stopping' | 'stopped'
  startedAtMs: number
  process: ChildProcess
  exited: Promise<void>
}

/** Signal that was sent to the daemon of a machine. */
export interface SentSignal {
  machine: string
  signal: 'SIGTERM' | 'SIGHUP'
  atMs: number
}

/** Daemons of a run. */
export interface PlatformFleet {
  machines: PlatformMachine[]
  signals: SentSignal[]
  /** Exits and kills that no signal of the run explains. */
  problems: string[]
  start: (place: Pick<PlatformMachine, 'name' | 'role' | 'ip'>, settings: unknown) => PlatformMachine
  /** Sends SIGTERM, and SIGKILL after the grace period. Resolves at the exit. */
  stop: (machine: PlatformMachine) => Promise<void>
  reload: (machine: PlatformMachine) => void
  restart: (machine: PlatformMachine) => void
  /** Kills all processes and waits for their exits. */
  close: () => Promise<void>
}

/** Options of `openPlatformFleet`. */
export interface PlatformFleetOptions {
  clock: Clock
  /** Checkout whose daemons run. */
  root: string
  /** Folder for settings and logs. */
  folder: string
  /** Time from SIGTERM to SIGKILL. */
  graceMs: number
}

/** @returns a fleet without machines */
export function openPlatformFleet ({ clock, root, folder, graceMs }: PlatformFleetOptions): PlatformFleet {
  const machines: PlatformMachine[] = []
  const signals: SentSignal[] = []
  const problems: string[] = []
  const logs = new Map<string, WriteStream>()
  const deployFile = readFileSync(join(root, 'deploy/system.toml'), 'utf8')
  let closing = false
  const killAll = (): void => { for (const { process: child } of machines) child.kill('SIGKILL') }
  // Also if an error ends this process before the fleet is closed.
  process.once('exit', killAll)

  const spawnProcess = (name: string, role: string, log: WriteStream): ChildProcess => {
    const [program, ...words] = commandOf(deployFile, role)
    const child = spawn(program === 'node' ? process.execPath : program, words, { cwd: root, env: { PATH: process.env.PATH, HOME: process.env.HOME, ANVILARCH_CONFIG: join(folder, `${name}.json`) }, stdio: ['ignore', 'pipe', 'pipe'] })
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
    return child
  }

  const watch = (machine: PlatformMachine): void => {
    const { process: child } = machine
    machine.exited = new Promise(resolve => {
      child.once('error', error => problems.push(`${machine.name} could not be started: ${error.message}`))
      child.once('exit', (code, signal) => {
        if (!closing && (machine.state === 'running' || code !== 0)) problems.push(`${machine.name} ended with ${signal ?? `code ${code}`} while ${machine.state}`)
        machine.state = 'stopped'
        resolve()
      })
    })
  }

  const record = (machine: PlatformMachine, signal: SentSignal['signal']): void => {
    signals.push({ machine: machine.name, signal, atMs: clock.nowMs() })
    machine.process.kill(signal)
  }

  return {
    machines,
    signals,
    problems,
    start: ({ name, role, ip }, settings) => {
      const logPath = join(folder, `${name}.log`)
      const log = createWriteStream(logPath)
      logs.set(name, log)
      writeFileSync(join(folder, `${name}.json`), JSON.stringify(settings))
      const machine: PlatformMachine = { name, role, ip, logPath, state: 'running', startedAtMs: clock.nowMs(), process: spawnProcess(name, role, log), exited: Promise.resolve() }
      machines.push(machine)
      watch(machine)
      return machine
    },
    stop: async machine => {
      machine.state = 'stopping'
      record(machine, 'SIGTERM')
      const kill = clock.after(graceMs, () => { machine.process.kill('SIGKILL') })
      await machine.exited
      kill.cancel()
    },
    reload: machine => record(machine, 'SIGHUP'),
    restart: machine => {
      if (closing) return
      machine.state = 'running'
      machine.startedAtMs = clock.nowMs()
      machine.process = spawnProcess(machine.name, machine.role, logs.get(machine.name) as WriteStream)
      watch(machine)
    },
    close: async () => {
      closing = true
      killAll()
      await Promise.all(machines.map(async ({ exited }) => await exited))
      process.removeListener('exit', killAll)
      for (const log of logs.values()) log.end()
    }
  }
}

function commandOf (deployFile: string, role: string): string[] {
  const command = new RegExp(`\\[roles\\.${role}\\]\\s+run = "([^"]*)"`).exec(deployFile)?.[1]
  if (command === undefined) throw new Error(`deploy/system.toml: no line \`run = "..."\` below [roles.${role}]`)
  return command.split(' ')
}
