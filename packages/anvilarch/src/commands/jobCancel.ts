/** `anvilarch job cancel ID` */
import { positional, string } from 'cmd-ts'
import { defineCommand } from '../defineCommand'
import { formatJob } from '../jobs/jobState'

/** Cancels one job. */
export const jobCancel = defineCommand({
  name: 'cancel',
  description: 'Stop a job; results that it has so far stay readable',
  args: { id: positional({ type: string, displayName: 'ID', description: 'the job' }) },
  examples: [{ description: 'Stop a job', line: 'anvilarch job cancel batch_0193' }],
  run: async ({ id }, session) => {
    const batch = await session.gateway.cancelBatch(id)
    return { json: { job: batch }, text: formatJob(batch) }
  }
})
