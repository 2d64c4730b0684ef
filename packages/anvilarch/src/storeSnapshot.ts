/** Reads the platform's store for a command. */
import { option, string } from 'cmd-ts'
import { openStore } from 'anvilarch-platform'
import { readStoreSnapshot, type StoreSnapshot } from 'anvilarch-serving'
import { SILENT_LOGGER } from 'anvilarch-utils'
import { CliError } from './cliError'
import type { CliSession } from './session'

/** Option with the address of the store. */
export const STORE_ADDRESS = option({ long: 'address', type: string, description: 'IP and port of the store' })

/**
 * @param address - IP and port of the store
 * @param session - of the command
 * @returns the state of the deployment in the store
 * @throws CliError when the store can't be read
 */
export async function readSnapshot (address: string, session: CliSession): Promise<StoreSnapshot> {
  const { store, wire } = openStore(address, session.environment.clock, SILENT_LOGGER)
  const result = await readStoreSnapshot(store, wire)
  if (result.ok) return result.val
  throw new CliError(`The store at ${address} can't be read: ${result.val.reason}.`, {
    code: 'platform_unavailable', step: 'store.read', peer: address, exit: 'unreachable', ran: 'not_run', hint: 'Check the address in the settings file of a daemon, and try again.'
  })
}
