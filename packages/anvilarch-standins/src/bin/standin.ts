/** Runs one stand-in as a process: `standin.js <kind> --port N`. Prints one JSON line with its address once it is listening. */
import { existsSync, readFileSync, unlinkSync, writeFileSync } from 'node:fs'
import { command, flag, multioption, number, option, optional, run, string, subcommands, array } from 'cmd-ts'
import type { Faults } from '../common/faults'
import { CRASH_EXIT_CODE, type StandinHandle, type StandinOptions } from '../common/standinServer'
import { startEngineStandin } from '../engine/engineStandin'
import { DEFAULT_ENGINE_OPTIONS, type EngineOptions } from '../engine/types'
import { startHostStandin } from '../hosts/hostStandin'
import { startLedgerStandin } from '../ledger/ledgerStandin'
import { startObjectStandin } from '../objects/objectStandin'
import { DEFAULT_SERVICE_MS, startPlainStandin } from '../plain/plainStandin'
import { startTableStandin } from '../table/tableStandin'
import { DEFAULT_MAX_CONCURRENT_TRANSFERS, DEFAULT_TRANSFER_MS, startWeightStandin } from '../weights/weightStandin'

const commonArguments = {
  port: option({ type: number, long: 'port', defaultValue: () => 0, description: 'port to listen on; 0 for any free one' }),
  faults: option({ type: optional(string), long: 'faults', description: 'initial faults as JSON, for example {"lagMs":500}' }),
  faultsFile: option({ type: optional(string), long: 'faults-file', description: 'file in which a crash stores the faults for the next start' }),
  seed: option({ type: number, long: 'seed', defaultValue: () => 1, description: 'seed of the random numbers' })
}

const endpointArguments = {
  ...commonArguments,
  name: option({ type: string, long: 'name', description: 'name in the ledger' }),
  ledgerUrl: option({ type: optional(string), long: 'ledger-url', description: 'address of the ledger collector' })
}

interface CommonArguments {
  port: number
  faults: string | undefined
  faultsFile: string | undefined
  seed: number
}

let running: StandinHandle | undefined

function commonOptions (given: CommonArguments): StandinOptions {
  return {
    port: given.port,
    seed: given.seed,
    faults: { ...parseFaults(given.faults), ...takeCrashFaults(given.faultsFile) },
    onCrash: () => {
      if (given.faultsFile !== undefined) writeFileSync(given.faultsFile, JSON.stringify(running?.faults.get()))
      process.exit(CRASH_EXIT_CODE)
    }
  }
}

function parseFaults (text: string | undefined): Partial<Faults> {
  return text === undefined ? {} : JSON.parse(text) as Partial<Faults>
}

/** Restores the faults after a crash, so that a request that crashed an endpoint crashes it again after the restart. */
function takeCrashFaults (file: string | undefined): Partial<Faults> {
  if (file === undefined || !existsSync(file)) return {}
  const faults = parseFaults(readFileSync(file, 'utf8'))
  unlinkSync(file)
  return faults
}

/** @returns the command of a stand-in that has only the common options */
function simpleCommand (name: string, start: (options: StandinOptions) => Promise<StandinHandle>) {
  return command({
    name,
    args: commonArguments,
    handler: async given => { await serve(name, start(commonOptions(given))) }
  })
}

const weights = command({
  name: 'weights',
  args: {
    ...commonArguments,
    maxConcurrent: option({ type: number, long: 'max-concurrent', defaultValue: () => DEFAULT_MAX_CONCURRENT_TRANSFERS, description: 'maximum number of concurrent transfers' }),
    transferMs: option({ type: number, long: 'transfer-ms', defaultValue: () => DEFAULT_TRANSFER_MS, description: 'duration of one transfer' })
  },
  handler: async given => {
    await serve('weights', startWeightStandin({ ...commonOptions(given), maxConcurrent: given.maxConcurrent, transferMs: given.transferMs }))
  }
})

const plain = command({
  name: 'plain',
  args: {
    ...endpointArguments,
    serviceMs: option({ type: number, long: 'service-ms', defaultValue: () => DEFAULT_SERVICE_MS, description: 'duration of one call' })
  },
  handler: async given => {
    await serve('plain', startPlainStandin({ ...commonOptions(given), name: given.name, ledgerUrl: given.ledgerUrl, serviceMs: given.serviceMs }))
  }
})

const engine = command({
  name: 'engine',
  args: {
    ...endpointArguments,
    weightsUrl: option({ type: optional(string), long: 'weights-url', description: 'address of the weight store' }),
    preload: multioption({ type: array(string), long: 'preload', description: 'model that is ready from the start, as model:version' }),
    set: multioption({ type: array(string), long: 'set', description: `an engine option as name=value; names: ${Object.keys(DEFAULT_ENGINE_OPTIONS).join(', ')}` }),
    checksFencing: flag({ long: 'checks-fencing', description: 'reject orders with an old fencing token' }),
    strictModel: flag({ long: 'strict-model', description: 'serve only requests that name a loaded model' })
  },
  handler: async given => {
    await serve('engine', startEngineStandin({
      ...commonOptions(given),
      name: given.name,
      ledgerUrl: given.ledgerUrl,
      weightsUrl: given.weightsUrl,
      preload: given.preload,
      checksFencing: given.checksFencing,
      strictModel: given.strictModel,
      engine: parseEngineOptions(given.set)
    }))
  }
})

function parseEngineOptions (assignments: string[]): Partial<EngineOptions> {
  return Object.fromEntries(assignments.map(assignment => {
    const [name, value] = assignment.split('=')
    if (!Object.hasOwn(DEFAULT_ENGINE_OPTIONS, name)) throw new Error(`unknown engine option "${name}"; known are ${Object.keys(DEFAULT_ENGINE_OPTIONS).join(', ')}`)
    return [name, Number(value)]
  }))
}

async function serve (kind: string, starting: Promise<StandinHandle>): Promise<void> {
  const standin = await starting
  running = standin
  process.stdout.write(JSON.stringify({ kind, url: standin.url, processId: process.pid }) + '\n')
  const stop = (): void => { standin.close().finally(() => { process.exit(0) }) }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
}

const main = subcommands({
  name: 'standin',
  cmds: {
    table: simpleCommand('table', startTableStandin),
    objects: simpleCommand('objects', startObjectStandin),
    hosts: simpleCommand('hosts', startHostStandin),
    ledger: simpleCommand('ledger', startLedgerStandin),
    weights,
    plain,
    engine
  }
})

run(main, process.argv.slice(2)).catch((error: Error) => {
  process.stderr.write(`${error.message}\n`)
  process.exit(1)
})
