/** `anvilarch job show ID` */
import { positional, string } from 'cmd-ts'
import { defineCommand } from '../defineCommand'
import { describeEndedJob, describeWithHint } from '../jobs/describeEndedJob'
import { waitForJob } from '../jobs/waitForJob'
import { waitArgument } from '../waitArgument'

/** Shows one job and optionally waits for its end. */
export const jobShow = defineCommand({
  name: 'show',
  description: 'Show a job and how far it has come',
  args: {
    id: positional({ type: string, displayName: 'ID', description: 'the job' }),
    wait: waitArgument(undefined, 'the job has ended')
  },
  examples: [{ description: 'Watch a job until its end, for an hour at most', line: 'anvilarch job show batch_0193 --wait 3600' }],
  run: async ({ id, wait }, session) => {
    if (wait !== undefined) return describeEndedJob(await waitForJob(session, id, wait.timeoutMs))
    const batch = await session.gateway.batch(id)
    return { json: { job: batch }, text: describeWithHint(batch) }
  }
})
