/** `anvilarch store show` */
import { type StoreSnapshot, summarizeJob } from 'anvilarch-serving'
import { defineCommand } from '../defineCommand'
import { formatTable } from '../output/table'
import { readSnapshot, STORE_ADDRESS } from '../storeSnapshot'

/** Shows the contents of the platform's store: configuration in force, endpoints, daemons and jobs. */
export const storeShow = defineCommand({
  name: 'show',
  description: 'Show configuration, endpoints, daemons and jobs as the platform\'s store has them',
  args: {
    address: STORE_ADDRESS
  },
  examples: [{ description: 'State of the deployment', line: 'anvilarch store show --address 10.200.1.7:8142' }],
  run: async ({ address }, session) => {
    const snapshot = await readSnapshot(address, session)
    return { json: toJson(snapshot), text: formatSnapshot(snapshot) }
  }
})

function toJson (snapshot: StoreSnapshot): unknown {
  const { configuration, endpoints, members, jobs, storeNowMs } = snapshot
  return {
    configurationVersion: configuration?.version,
    routes: configuration?.routes,
    endpoints,
    members,
    jobs: jobs.map(job => summarizeJob(job, storeNowMs))
  }
}

function formatSnapshot (snapshot: StoreSnapshot): string {
  const { configuration, endpoints, members, jobs, storeNowMs } = snapshot
  const routes = configuration?.routes.map(route => [route.name, route.kind, route.host + route.pathPrefix, route.targets.map(target => target.service).join(', '), route.maxAttempts, route.timeoutMs]) ?? []
  const summaries = jobs.map(job => summarizeJob(job, storeNowMs))
  return [
    `configuration  version ${configuration?.version ?? 'none'}`,
    formatTable(['route', 'kind', 'path', 'services', 'attempts', 'timeoutMs'], routes),
    '',
    formatTable(['endpoint', 'service', 'address', 'domain', 'state', 'slots'], endpoints.map(endpoint => [endpoint.id, endpoint.service, endpoint.address, endpoint.failureDomain, endpoint.state, endpoint.slots])),
    '',
    formatTable(['daemon', 'role', 'address', 'alive', 'eventMs'], members.map(member => [member.name, member.role, member.peerAddress, storeNowMs === undefined || member.aliveUntilMs > storeNowMs, member.eventMs === undefined ? '' : Math.round(member.eventMs)])),
    '',
    formatTable(['job', 'state', 'items', 'completed', 'givenUp', 'dueInMs'], summaries.map(job => [job.jobId, job.state, job.itemCount, job.completed, job.givenUp, job.dueInMs]))
  ].join('\n')
}
