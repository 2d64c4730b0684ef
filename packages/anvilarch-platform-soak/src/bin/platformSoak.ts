/** `npm run soak:platform -- --minutes M --seed S`: a randomised run of the platform's path under planned work. */
import { mkdirSync, writeFileSync } from 'node:fs'
import { join, resolve } from 'node:path'
import { createSystemClock } from 'anvilarch-utils'
import { command, flag, number, option, optional, run, string } from 'cmd-ts'
import { isSuccess } from '../clients/attempt'
import { judge, summarize } from '../run/report'
import { runPlatformSoak } from '../run/runPlatformSoak'
import { WORK_KINDS, type WorkKind } from '../work/schedule'

/** Exit codes. `passed`: all counts are 0. `violated`: some count is not 0. `failed`: the run itself failed or was interrupted. */
const EXIT_CODES = { passed: 0, violated: 1, failed: 3 } as const

const MS_PER_MINUTE = 60_000

/** Mean rate that fills the engines at the crest. */
const REQUESTS_PER_SECOND_PER_ENGINE = 6

/** Top of this checkout. */
const OWN_ROOT = resolve(__dirname, '../../../..')

const main = command({
  name: 'platformSoak',
  description: 'Runs gateways and agents of the platform\'s path with stand-ins and clients under planned work that is generated from a seed, and counts the requests that were lost.\n\nExample: npm run soak:platform -- --minutes 2 --seed 7',
  args: {
    minutes: option({ type: number, long: 'minutes', defaultValue: () => 1, defaultValueIsSerializable: true, description: 'duration of load and planned work' }),
    seed: option({ type: number, long: 'seed', defaultValue: () => 1, defaultValueIsSerializable: true, description: 'seed of load and planned work' }),
    gateways: option({ type: number, long: 'gateways', defaultValue: () => 6, defaultValueIsSerializable: true, description: 'number of gateways' }),
    engines: option({ type: number, long: 'engines', defaultValue: () => 4, defaultValueIsSerializable: true, description: 'number of engines at the start' }),
    rate: option({ type: optional(number), long: 'rate', description: `mean number of requests per second; ${REQUESTS_PER_SECOND_PER_ENGINE} for each engine by default` }),
    work: option({ type: optional(string), long: 'work', description: `kinds of planned work, separated by commas; all by default: ${WORK_KINDS.join(', ')}` }),
    pipelined: flag({ long: 'pipelined', description: 'some clients send a request before the response to the one before' }),
    crowds: flag({ long: 'crowds', description: 'clients that do not behave come beside the load' }),
    root: option({ type: string, long: 'root', defaultValue: () => OWN_ROOT, description: 'checkout whose daemons run, with its bundle in target/; this one by default' }),
    folder: option({ type: optional(string), long: 'folder', description: 'folder for settings, logs and evidence.json; one below target/ by default' })
  },
  handler: async args => {
    const clock = createSystemClock()
    const startMs = clock.nowMs()
    const log = (line: string): void => { print(`${((clock.nowMs() - startMs) / 1000).toFixed(1)} s  ${line}`) }
    const folder = resolve(args.folder ?? join(OWN_ROOT, 'target', 'platform-soak', `${args.seed}-${process.pid}`))
    mkdirSync(folder, { recursive: true })
    const interrupted = new AbortController()
    for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) process.on(signal, () => interrupted.abort())
    log(`seed ${args.seed}, ${args.minutes} minutes; logs in ${folder}`)
    const result = await runPlatformSoak({
      clock,
      durationMs: args.minutes * MS_PER_MINUTE,
      seed: args.seed,
      gateways: args.gateways,
      engines: args.engines,
      rate: args.rate ?? REQUESTS_PER_SECOND_PER_ENGINE * args.engines,
      work: parseWork(args.work),
      pipelines: args.pipelined,
      crowds: args.crowds,
      root: resolve(args.root),
      folder,
      signal: interrupted.signal,
      log
    })
    writeFileSync(join(folder, 'evidence.json'), JSON.stringify(result.evidence))
    if (!interrupted.signal.aborted && !result.attempts.some(isSuccess)) throw new Error(`no request was answered with success, so that the run shows nothing: see the logs in ${folder}`)
    const { lost, counts, lines } = judge(result)
    for (const line of lines) print(line)
    print(`attempts: ${summarize(result.attempts)}`)
    print(`longest pause of this process: ${Math.round(result.longestPauseMs)} ms`)
    print(`counts: ${Object.entries(counts).map(([name, count]) => `${count} ${name}`).join(', ')}`)
    print(`seed ${args.seed}: ${result.attempts.length} requests, ${result.evidence.signals.length} signals, ${lost} lost`)
    const isViolated = Object.values(counts).some(count => count > 0)
    process.exitCode = interrupted.signal.aborted ? EXIT_CODES.failed : isViolated ? EXIT_CODES.violated : EXIT_CODES.passed
  }
})

function parseWork (text: string | undefined): WorkKind[] {
  const names = text?.split(',').filter(name => name !== '') ?? WORK_KINDS
  return names.map(name => {
    if ((WORK_KINDS as string[]).includes(name)) return name as WorkKind
    throw new Error(`unknown kind of work "${name}": use one or more of ${WORK_KINDS.join(', ')}`)
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
