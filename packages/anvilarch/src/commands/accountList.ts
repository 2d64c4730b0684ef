/** `anvilarch account list` */
import { defineCommand } from '../defineCommand'
import { formatTable } from '../output/table'
import { readSnapshot, STORE_ADDRESS } from '../storeSnapshot'
import { accountRow, accountStates, ACCOUNT_COLUMNS } from '../accounts'

/** Lists the client accounts of the configuration in force, without their keys. */
export const accountList = defineCommand({
  name: 'list',
  description: 'List client accounts with their limits and the tokens of their jobs that wait',
  args: { address: STORE_ADDRESS },
  examples: [{ description: 'All accounts', line: 'anvilarch account list --address 10.200.1.7:8142' }],
  run: async ({ address }, session) => {
    const snapshot = await readSnapshot(address, session)
    const accounts = accountStates(snapshot)
    return {
      json: { configurationVersion: snapshot.configuration?.version, accounts },
      text: [`configuration  version ${snapshot.configuration?.version ?? 'none'}`, formatTable(ACCOUNT_COLUMNS, accounts.map(accountRow))].join('\n')
    }
  }
})
