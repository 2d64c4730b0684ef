/** `anvilarch config apply FILE` */
import { number, option, optional, positional, string } from 'cmd-ts'
import { hashDocument } from 'anvilarch-configuration'
import { formatDaemonVersions } from '../configuration/inForce'
import { readDocument } from '../configuration/readDocument'
import { applyOnce } from '../configuration/applyOnce'
import { waitInForce } from '../configuration/waitInForce'
import { type CommandResult, defineCommand } from '../defineCommand'
import type { ApplyResponse } from '../gateway/types'
import type { CliSession } from '../session'
import { type Wait, waitArgument } from '../waitArgument'

/** Without failures, a new version is in force in every daemon within 13 s. */
const DEFAULT_WAIT_SECONDS = 60

/** Applies a configuration document and optionally waits until it is in force in every live daemon. */
export const configApply = defineCommand({
  name: 'apply',
  description: 'Put a configuration document in force',
  args: {
    file: positional({ type: string, displayName: 'FILE', description: 'the document, JSON with comments' }),
    ifVersion: option({ long: 'if-version', type: optional(number), description: 'only when this version is in force; exit code 4 when another one is' }),
    wait: waitArgument(DEFAULT_WAIT_SECONDS, 'every live daemon holds it')
  },
  examples: [
    { description: 'Apply and wait until every live daemon holds it', line: 'anvilarch config apply chamber.jsonc --wait' },
    { description: 'Apply only if nobody else has since version 7', line: 'anvilarch config apply chamber.jsonc --if-version 7' }
  ],
  run: async ({ file, ifVersion, wait }, session) => {
    const { text, document } = await readDocument(file)
    const request = { documentText: text, fileName: file, ifVersion, appliedBy: session.environment.userName }
    const response = await applyOnce(session.gateway, request, hashDocument(document))
    return wait === undefined ? describeApplied(response) : await describeWait(session, response, wait)
  }
})

function describeApplied (response: ApplyResponse): CommandResult {
  const text = response.changed
    ? `version ${response.version} accepted, hash ${response.hash.slice(0, 12)}`
    : `nothing to change: version ${response.version} holds this document already`
  return { json: response, text }
}

async function describeWait (session: CliSession, response: ApplyResponse, wait: Wait): Promise<CommandResult> {
  const { inForce, daemons, waitedMs } = await waitInForce(session, response.version, wait.timeoutMs ?? DEFAULT_WAIT_SECONDS * 1000)
  const json = { ...response, inForce, waitedMs, daemons }
  const head = describeApplied(response).text
  if (inForce) return { json, text: `${head}\nin force in every live daemon after ${(waitedMs / 1000).toFixed(1)} s` }
  return { json, exit: 'timed_out', text: `${head}\nnot yet in force everywhere:\n${formatDaemonVersions(daemons.filter(daemon => !daemon.isInForce))}` }
}
