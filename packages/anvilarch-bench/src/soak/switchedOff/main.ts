/** Runs the soak on a scratch copy with one mechanism disabled: `node lib/soak/switchedOff/main.js --switch NAME --directory DIR`. */
import { spawnSync } from 'node:child_process'
import { join, resolve } from 'node:path'
import { command, number, oneOf, option, optional, run, string } from 'cmd-ts'
import { makeScratchCopy } from './scratchCopy'
import { SWITCHES } from './switches'

const ROOT = resolve(__dirname, '../../../../..')

const main = command({
  name: 'switchedOff',
  description: 'Shows that the soak detects a missing mechanism: builds a scratch copy without it and runs the soak on the copy.',
  args: {
    name: option({ type: oneOf(Object.keys(SWITCHES)), long: 'switch', description: `mechanism: ${Object.keys(SWITCHES).join(', ')}` }),
    directory: option({ type: string, long: 'directory', description: 'folder for the copy; existing content is removed' }),
    minutes: option({ type: optional(number), long: 'minutes', description: 'duration; by default that of the mechanism' }),
    seed: option({ type: optional(number), long: 'seed', description: 'seed; by default that of the mechanism' })
  },
  handler: ({ name, directory, minutes, seed }) => {
    const { faults, mechanism, replacements, racesPerSecond, ...defaults } = SWITCHES[name]
    const copy = resolve(directory)
    process.stdout.write(`${name}: without "${mechanism}"\n`)
    makeScratchCopy(ROOT, copy, replacements)
    const soak = join(copy, 'packages/anvilarch-bench/lib/bin/soak.js')
    const result = spawnSync(process.execPath, [
      soak, '--minutes', String(minutes ?? defaults.minutes), '--seed', String(seed ?? defaults.seed), '--faults', faults.join(','), '--directory', join(copy, 'soak'),
      ...(racesPerSecond === undefined ? [] : ['--races-per-second', String(racesPerSecond)])
    ], { stdio: 'inherit' })
    process.exitCode = result.status ?? 1
  }
})

run(main, process.argv.slice(2)).catch((error: Error) => {
  process.stderr.write(`${error.message}\n`)
  process.exit(1)
})
