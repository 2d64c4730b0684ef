/** Runs the command-line interface in a separate process, as an operator does. */
import { spawn } from 'node:child_process'
import { join } from 'node:path'
import { WORKSPACE_ROOT } from '../fleet/fleetPlan'
import { type DemoContext, DemoFailure } from './types'

const COMMAND_SCRIPT = join(WORKSPACE_ROOT, 'packages/anvilarch/lib/bin/anvilarch.js')
/** Exceeds the longest `--wait` of a command in the demo. */
const COMMAND_TIMEOUT_MS = 50_000

/**
 * Runs `anvilarch ... --json` against the running gateways.
 *
 * @param context - the demo
 * @param commandArguments - command and options
 * @returns the JSON that it printed
 * @throws DemoFailure when it exits with a code other than 0
 */
export async function runCommand<Output> (context: DemoContext, ...commandArguments: string[]): Promise<Output> {
  const gateways = context.fleet.processes('gateway').filter(({ processId }) => processId !== undefined).map(({ spec }) => spec.addresses.callers)
  const commandText = `anvilarch ${commandArguments.join(' ')}`
  const { code, output, errors } = await runNode([COMMAND_SCRIPT, ...commandArguments, '--gateway', gateways.join(','), '--json'], context.signal)
  if (code === 0) return JSON.parse(output) as Output
  throw new DemoFailure(`"${commandText}" exited with ${String(code)}: ${errors}${output}`.trim())
}

async function runNode (nodeArguments: string[], signal: AbortSignal): Promise<{ code: number | null, output: string, errors: string }> {
  const child = spawn(process.execPath, nodeArguments, { stdio: ['ignore', 'pipe', 'pipe'], signal, timeout: COMMAND_TIMEOUT_MS })
  let output = ''
  let errors = ''
  child.stdout.on('data', chunk => { output += String(chunk) })
  child.stderr.on('data', chunk => { errors += String(chunk) })
  const code = await new Promise<number | null>((resolve, reject) => {
    child.once('error', reject)
    child.once('close', resolve)
  })
  return { code, output, errors }
}
