/** `anvilarch config status` */
import { type DaemonVersion, daemonVersions, formatDaemonVersions, isInForceEverywhere } from '../configuration/inForce'
import { waitInForce } from '../configuration/waitInForce'
import { type CommandResult, defineCommand } from '../defineCommand'
import { waitArgument } from '../waitArgument'

const DEFAULT_WAIT_SECONDS = 60

/** Shows the configuration version of each daemon. */
export const configStatus = defineCommand({
  name: 'status',
  description: 'Show which version each daemon holds',
  args: { wait: waitArgument(DEFAULT_WAIT_SECONDS, 'every live daemon holds the version in force') },
  examples: [{ description: 'Wait until a change is in force in every live daemon', line: 'anvilarch config status --wait 20' }],
  run: async ({ wait }, session) => {
    const { version } = await session.gateway.configuration()
    if (wait === undefined) return describe(version, daemonVersions(await session.gateway.status(), version), 'ok')
    const { daemons } = await waitInForce(session, version, wait.timeoutMs ?? DEFAULT_WAIT_SECONDS * 1000)
    return describe(version, daemons, isInForceEverywhere(daemons) ? 'ok' : 'timed_out')
  }
})

function describe (version: number, daemons: DaemonVersion[], exit: 'ok' | 'timed_out'): CommandResult {
  const inForce = isInForceEverywhere(daemons)
  const head = `version ${version} is ${inForce ? 'in force in every live daemon' : 'not yet in force everywhere'}`
  return { json: { version, inForce, daemons }, text: `${head}\n\n${formatDaemonVersions(daemons)}`, exit }
}
