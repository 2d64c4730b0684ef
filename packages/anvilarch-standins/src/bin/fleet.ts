/** Starts the local fleet and keeps it running until it is interrupted. */
import { readFileSync } from 'node:fs'
import { join, resolve } from 'node:path'
import { LOG_LEVELS, type LogLevel } from 'anvilarch-utils'
import Table from 'cli-table3'
import { boolean, command, flag, number, oneOf, option, run, string } from 'cmd-ts'
import { applyDocument } from '../fleet/applyDocument'
import { WORKSPACE_ROOT } from '../fleet/fleetPlan'
import { startFleet } from '../fleet/startFleet'
import { DEFAULT_FLEET_OPTIONS, type Fleet } from '../fleet/types'

/** Includes the time in which the endpoints load the weights of the document's models, before which the daemons are not ready. */
const READY_TIMEOUT_MS = 30_000

const numberOption = (long: string, value: number, description: string): ReturnType<typeof option<typeof number>> =>
  option({ type: number, long, defaultValue: () => value, defaultValueIsSerializable: true, description })

const main = command({
  name: 'fleet',
  description: 'Starts the stand-ins, agents and gateways on this host and keeps them running.\n\nExample: npm run fleet -- --gateways 3 --restart-daemons',
  args: {
    directory: option({ type: string, long: 'directory', defaultValue: () => join(WORKSPACE_ROOT, '.fleet'), description: 'folder for fleet.json, settings and logs' }),
    gateways: numberOption('gateways', DEFAULT_FLEET_OPTIONS.gateways, 'number of gateways'),
    modelEndpoints: numberOption('model-endpoints', DEFAULT_FLEET_OPTIONS.modelEndpoints, 'number of model engines'),
    plainEndpoints: numberOption('plain-endpoints', DEFAULT_FLEET_OPTIONS.plainEndpoints, 'number of plain services'),
    endpointsPerAgent: numberOption('endpoints-per-agent', DEFAULT_FLEET_OPTIONS.endpointsPerAgent, 'number of endpoints behind one agent'),
    basePort: numberOption('base-port', DEFAULT_FLEET_OPTIONS.basePort, 'first of consecutive ports; 0 for any free ones'),
    restartMs: numberOption('restart-ms', DEFAULT_FLEET_OPTIONS.restartMs, 'delay before an endpoint that crashed is restarted'),
    restartDaemons: flag({ type: boolean, long: 'restart-daemons', description: 'restart gateways and agents when they exit' }),
    ignoreFencing: flag({ type: boolean, long: 'ignore-fencing', description: 'engines accept orders with an old fencing token' }),
    logLevel: option({ type: oneOf<LogLevel>([...LOG_LEVELS]), long: 'log-level', defaultValue: () => 'info' as const, description: `level of the daemons' logs: ${LOG_LEVELS.join(', ')}` }),
    document: option({ type: string, long: 'document', defaultValue: () => join(WORKSPACE_ROOT, 'examples/demo.jsonc'), description: 'configuration document to apply' }),
    noDocument: flag({ type: boolean, long: 'no-document', description: 'apply no configuration document; the daemons are not ready until one is applied' })
  },
  handler: async ({ document, noDocument, directory, ignoreFencing, ...options }) => {
    const starting = startFleet({ ...options, directory: resolve(directory), checksFencing: !ignoreFencing })
    // A signal that arrives while the fleet is starting terminates it as soon as it is running.
    const interrupted = new Promise<void>(resolve => {
      process.on('SIGINT', () => { resolve() })
      process.on('SIGTERM', () => { resolve() })
    })
    const fleet = await starting
    try {
      if (!noDocument) await applyAndWaitReady(fleet, document)
      print(describe(fleet))
      await interrupted
    } finally {
      print('terminating all processes of the fleet')
      await fleet.stop()
    }
  }
})

async function applyAndWaitReady (fleet: Fleet, file: string): Promise<void> {
  const { version } = await applyDocument(fleet.callerUrls()[0], file, readFileSync(file, 'utf8'))
  await fleet.waitReady(undefined, READY_TIMEOUT_MS)
  print(`${file} is in force as version ${version}`)
}

function describe (fleet: Fleet): string {
  const table = new Table({ head: ['name', 'process', 'addresses'], style: { head: [], border: [] } })
  for (const { spec, processId } of fleet.processes()) {
    const addresses = Object.entries(spec.addresses).map(([purpose, url]) => `${purpose} ${url}`)
    table.push([spec.name, processId ?? 'ended', addresses.join('\n')])
  }
  return `${table.toString()}\nThe same with settings files, logs and fault switches: ${join(fleet.options.directory, 'fleet.json')}\nStop the fleet with Ctrl-C.`
}

function print (text: string): void {
  process.stdout.write(`${text}\n`)
}

run(main, process.argv.slice(2)).then(
  () => { process.exit(0) },
  (error: Error) => {
    process.stderr.write(`${error.message}\n`)
    process.exit(1)
  }
)
