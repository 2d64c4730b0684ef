/** `anvilarch account show NAME` */
import { positional, string } from 'cmd-ts'
import { summarizeJob } from 'anvilarch-serving'
import { accountRow, accountStates, ACCOUNT_COLUMNS } from '../accounts'
import { CliError } from '../cliError'
import { defineCommand } from '../defineCommand'
import { formatTable } from '../output/table'
import { readSnapshot, STORE_ADDRESS } from '../storeSnapshot'

/** Shows one client account and its jobs. */
export const accountShow = defineCommand({
  name: 'show',
  description: 'Show a client account and its jobs',
  args: { name: positional({ type: string, displayName: 'name', description: 'name of the account' }), address: STORE_ADDRESS },
  examples: [{ description: 'One account', line: 'anvilarch account show acme --address 10.200.1.7:8142' }],
  run: async ({ name, address }, session) => {
    const snapshot = await readSnapshot(address, session)
    const account = accountStates(snapshot).find(state => state.name === name)
    if (account === undefined) {
      throw new CliError(`The configuration in force has no account "${name}".`, {
        code: 'not_found', step: 'account.show', exit: 'failed', ran: 'not_run', hint: 'See "anvilarch account list" for the names.'
      })
    }
    const jobs = snapshot.jobs.filter(job => job.account === name).map(job => summarizeJob(job, snapshot.storeNowMs))
    return {
      json: { ...account, jobs },
      text: [
        formatTable(ACCOUNT_COLUMNS, [accountRow(account)]),
        '',
        formatTable(['job', 'state', 'items', 'completed', 'givenUp', 'dueInMs'], jobs.map(job => [job.jobId, job.state, job.itemCount, job.completed, job.givenUp, job.dueInMs]))
      ].join('\n')
    }
  }
})
