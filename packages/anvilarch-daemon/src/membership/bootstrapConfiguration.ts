/**
 * Obtains the configuration from the agents when a gateway starts during an outage of the table.
 *
 * The version of the first agent could be older than one that was reported to an operator as accepted. A majority of the
 * agents have a version before it is reported as accepted, so the highest version among a majority of the listed agents is
 * at least that one. Without a majority the gateway stays unready.
 */
import type { DaemonContext } from '../context'
import type { AgentClients } from '../peers/types'
import type { MutableDirectory } from './agentDirectory'
import type { MemberRecord } from './memberRecord'

const PULL_TIMEOUT_MS = 3000

/**
 * @param records - records of all agents
 * @returns agent with the highest version, if a majority of the listed agents have responded and one has a configuration
 */
export function chooseSource (records: MemberRecord[]): MemberRecord | undefined {
  const listed = records.filter(record => record.listed !== 'absent')
  const responsive = listed.filter(record => record.isResponsive)
  if (responsive.length * 2 <= listed.length) return undefined
  const best = responsive.reduce((left, right) => right.view.configurationVersion > left.view.configurationVersion ? right : left)
  return best.view.configurationVersion > 0 ? best : undefined
}

/**
 * @param context - shared context of the daemon
 * @param parts - clients and directory
 * @returns once a configuration was offered or none was available; the calling code retries later
 */
export async function bootstrapConfiguration (
  context: Pick<DaemonContext, 'configuration' | 'logger'>, parts: { clients: AgentClients, directory: MutableDirectory }
): Promise<void> {
  const source = chooseSource(parts.directory.records())
  if (source === undefined) return
  try {
    const found = await parts.clients.get(source.address, 'control').pullConfiguration({}, { timeoutMs: PULL_TIMEOUT_MS })
    context.configuration.offer({ version: Number(found.version), hash: found.hash, documentJson: found.documentJson })
  } catch (error) {
    context.logger.debug('a configuration was not pulled', { peer: source.address, error: String(error) })
  }
}
