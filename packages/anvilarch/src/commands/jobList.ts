/** `anvilarch job list` */
import { extendType, number, option } from 'cmd-ts'
import { defineCommand } from '../defineCommand'
import type { GatewayClient } from '../gateway/gatewayClient'
import type { BatchResponse } from '../gateway/types'
import { jobCounts } from '../jobs/jobState'
import { type Cell, formatTable, formatTime } from '../output/table'

const DEFAULT_LIMIT = 20
const PAGE_SIZE = 100

const limitType = extendType(number, {
  displayName: 'number',
  from: async limit => {
    if (Number.isInteger(limit) && limit >= 1) return limit
    throw new Error(`found ${limit}; expected a whole number of at least 1`)
  }
})

/** Lists the jobs of the caller account, newest first. */
export const jobList = defineCommand({
  name: 'list',
  description: 'List the jobs of this caller account, the newest first',
  args: {
    limit: option({ long: 'limit', type: limitType, defaultValue: () => DEFAULT_LIMIT, defaultValueIsSerializable: true, description: 'how many at most' })
  },
  examples: [{ description: 'The latest hundred jobs', line: 'anvilarch job list --limit 100' }],
  run: async ({ limit }, session) => {
    const { jobs, hasMore } = await listJobs(session.gateway, limit)
    const rows = jobs.map((batch): Cell[] => {
      const { done, total, failed } = jobCounts(batch)
      return [batch.id, batch.status, `${done}/${total}`, failed, batch.endpoint, formatTime(batch.created_at * 1000)]
    })
    const table = rows.length === 0 ? 'no jobs' : formatTable(['JOB', 'STATUS', 'DONE', 'FAILED', 'ENDPOINT', 'CREATED'], rows)
    return { json: { jobs, hasMore }, text: hasMore ? `${table}\nThere are more; raise --limit.` : table }
  }
})

async function listJobs (gateway: GatewayClient, limit: number): Promise<{ jobs: BatchResponse[], hasMore: boolean }> {
  const jobs: BatchResponse[] = []
  let hasMore = true
  while (hasMore && jobs.length < limit) {
    const page = await gateway.listBatches(Math.min(PAGE_SIZE, limit - jobs.length), jobs.at(-1)?.id)
    jobs.push(...page.data)
    hasMore = page.has_more && page.data.length > 0
  }
  return { jobs, hasMore }
}
