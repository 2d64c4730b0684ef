#!/usr/bin/env node
/** Command line of the daemon. */
import { readFileSync } from 'node:fs'
import { command, flag, option, optional, positional, run, string } from 'cmd-ts'
import { type DaemonSettings, formatIssues, validateSettings } from 'anvilarch-configuration'
import { createDaemon, type Daemon, exitOnViolation } from '../roles/runDaemon'
import { HANDLED_SIGNALS, onSignal, type Phase, type SignalCommand } from './stopSignals'

/** Exit codes, consistent with those of the command-line tool. */
const EXIT_CODES = { ok: 0, failed: 1, usage: 2, invalid_settings: 3, invariant_violated: 70 } as const

/** Time between the second interrupt and the forced exit. */
const FORCED_EXIT_DELAY_MS = 2000

function readSettings (path: string): DaemonSettings {
  let text: string
  try {
    text = readFileSync(path, 'utf8')
  } catch (error) {
    console.error(`The settings "${path}" can't be read: ${error instanceof Error ? error.message : String(error)}.`)
    return process.exit(EXIT_CODES.usage)
  }
  const result = validateSettings(text, path)
  if (result.ok) return result.val
  console.error(formatIssues(result.val))
  return process.exit(EXIT_CODES.invalid_settings)
}

/** Applies signals from now on, also while the daemon starts: a default handler would end the process at once. */
function handleSignals (daemon: Daemon): void {
  const { clock, logger } = daemon.context
  let phase: Phase = 'running'
  const commands: Record<SignalCommand, () => void> = {
    stop: () => {
      daemon.stop().then(
        () => process.exit(EXIT_CODES.ok),
        (error: unknown) => {
          logger.error('stopping failed', { error: String(error) })
          process.exit(EXIT_CODES.failed)
        })
    },
    force: () => { clock.after(FORCED_EXIT_DELAY_MS, () => process.exit(EXIT_CODES.failed)) },
    ignore: () => {}
  }
  for (const signal of HANDLED_SIGNALS) {
    process.on(signal, () => {
      const step = onSignal(phase, signal)
      logger.info('signal received', { signal, phase, command: step.command })
      phase = step.phase
      commands[step.command]()
    })
  }
}

const anvilarchd = command({
  name: 'anvilarchd',
  description: 'Serving daemon, as gateway or agent. Example: anvilarchd --settings gateway.settings.jsonc',
  args: {
    named: option({ type: optional(string), long: 'settings', short: 's', description: 'settings, JSON with comments' }),
    check: flag({ long: 'check', description: 'validate the settings and exit: 0 if they are valid, 3 if not' }),
    file: positional({ type: optional(string), displayName: 'FILE', description: 'the same as --settings FILE' })
  },
  handler: async ({ named, check, file }) => {
    const path = named ?? file
    if (path === undefined) {
      console.error('No settings given. Example: anvilarchd --settings gateway.settings.jsonc')
      process.exit(EXIT_CODES.usage)
    }
    const settings = readSettings(path)
    if (check) {
      console.log(`"${path}" is valid.`)
      return
    }
    if (process.env.ANVILARCH_EXIT_ON_VIOLATION === '1') exitOnViolation(() => process.exit(EXIT_CODES.invariant_violated))
    const daemon = createDaemon(settings)
    handleSignals(daemon)
    await daemon.start()
  }
})

run(anvilarchd, process.argv.slice(2)).catch((error: unknown) => {
  console.error(`The daemon could not start: ${error instanceof Error ? error.message : String(error)}`)
  process.exit(EXIT_CODES.failed)
})
