/** `npm run soak -- --minutes M --seed S`: a long randomised run of real processes under faults. */
import { mkdirSync, mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join, resolve } from 'node:path'
import { createSystemClock } from 'anvilarch-utils'
import { command, flag, number, option, optional, run, string } from 'cmd-ts'
import { closestName } from './closestName'
import { checkEvidence } from '../soak/checker/checkEvidence'
import { FAULT_NAMES, type FaultName } from '../soak/faults/faultTable'
import { formatReport, notInjected } from '../soak/run/report'
import { runSoak } from '../soak/run/runSoak'
import { DEFAULT_RATES } from '../soak/run/startLoad'

/**
 * Exit codes. `passed`: all counts of violations are 0 and every kind of fault was injected. `violated`: some count is not 0.
 * `partial`: some kind was not injected. `failed`: the run itself failed.
 */
const EXIT_CODES = { passed: 0, violated: 1, partial: 2, failed: 3 } as const

const MS_PER_MINUTE = 60_000

const main = command({
  name: 'soak',
  description: 'Runs a fleet of real processes under load and faults generated from a seed, and compares the ledgers of the endpoints with the responses that callers received.\n\nExample: npm run soak -- --minutes 10 --seed 7',
  args: {
    minutes: option({ type: number, long: 'minutes', defaultValue: () => 1, defaultValueIsSerializable: true, description: 'duration of load and faults' }),
    seed: option({ type: number, long: 'seed', defaultValue: () => 1, defaultValueIsSerializable: true, description: 'seed of load and faults' }),
    faults: option({ type: optional(string), long: 'faults', description: `kinds to inject, separated by commas; all by default: ${FAULT_NAMES.join(', ')}` }),
    without: option({ type: optional(string), long: 'without', description: 'kinds to exclude, separated by commas' }),
    racesPerSecond: option({ type: number, long: 'races-per-second', defaultValue: () => DEFAULT_RATES.operatorRaces, defaultValueIsSerializable: true, description: 'mean rate at which operators apply different documents at once' }),
    directory: option({ type: optional(string), long: 'directory', description: 'folder for settings, logs and evidence.json; a new temporary one by default' }),
    ignoreFencing: flag({ long: 'ignore-fencing', description: 'engines accept orders with a stale fencing token, as they always do with an even seed' })
  },
  handler: async args => {
    const faults = selectFaults(args.faults, args.without)
    const directory = args.directory === undefined ? mkdtempSync(join(tmpdir(), 'anvilarch-soak-')) : resolve(args.directory)
    mkdirSync(directory, { recursive: true })
    const clock = createSystemClock()
    const startMs = clock.nowMs()
    const log = (line: string): void => { print(`${((clock.nowMs() - startMs) / 1000).toFixed(1)} s  ${line}`) }
    log(`seed ${args.seed}, ${args.minutes} minutes, ${faults.length} kinds of faults; logs in ${directory}`)
    const evidence = await runSoak({ durationMs: args.minutes * MS_PER_MINUTE, seed: args.seed, faults, directory, checksFencing: !args.ignoreFencing && args.seed % 2 === 1, rates: { ...DEFAULT_RATES, operatorRaces: args.racesPerSecond }, log })
    writeFileSync(join(directory, 'evidence.json'), JSON.stringify(evidence))
    const counts = checkEvidence(evidence)
    print(formatReport(evidence, counts, faults))
    const missing = notInjected(evidence, faults)
    const isViolated = counts.some(({ count }) => count > 0)
    print(`seed ${args.seed}, ${args.minutes} minutes: ${isViolated ? 'VIOLATED' : 'all counts are 0'}${missing.length === 0 ? '' : `; not injected: ${missing.join(', ')}`}`)
    process.exitCode = isViolated ? EXIT_CODES.violated : missing.length > 0 ? EXIT_CODES.partial : EXIT_CODES.passed
  }
})

function selectFaults (included: string | undefined, excluded: string | undefined): FaultName[] {
  const without = new Set(parseNames(excluded))
  return (included === undefined ? FAULT_NAMES : parseNames(included)).filter(name => !without.has(name))
}

function parseNames (text: string | undefined): FaultName[] {
  const names = (text ?? '').split(',').filter(name => name !== '')
  return names.map(name => {
    if ((FAULT_NAMES as string[]).includes(name)) return name as FaultName
    throw new Error(`unknown fault "${name}"; did you mean "${closestName(name, FAULT_NAMES)}"?`)
  })
}

function print (line: string): void {
  process.stdout.write(`${line}\n`)
}

run(main, process.argv.slice(2)).then(
  () => { process.exit() },
  (error: Error) => {
    process.stderr.write(`${error.stack ?? error.message}\n`)
    process.exit(EXIT_CODES.failed)
  }
)
