/**
 * The address of a model replica that is gone is used again by a replica of another service (PROTOCOL.md, Replicas; RULES.md, ROUTE).
 * The agent beside it must run no item of its own service's jobs there.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { makeJob, readAll, sleep, submit, untilReady } from '../standins/client.mjs'
import { BOUNDS, chooseIps, createProcesses, EXIT, freePort, runCase } from '../standins/deployment.mjs'
import { startReplica } from '../standins/replica.mjs'
import { startStore } from '../standins/store.mjs'

const HOST = 'registrars.example'
const REVIEWS = 'assistants'
const AUDITS = 'auditors'
const JOB_COUNT = 6
const ITEMS_PER_JOB = 10

/** Replicas of the service `assistants`. With the one of `auditors`, the lost one is a seventh of all. */
const REVIEW_REPLICAS = 6

/** Longer than `reuse-after-s`, and than the three heartbeats after which the entry of the lost replica is gone. */
const REUSE_AFTER_MS = 6000

const batchRoute = (name, service) => ({
  name,
  host: HOST,
  'path-prefix': `/${name}/`,
  'route-type': 'batch',
  service,
  'timeout-ms': 15_000,
  'target-latency-ms': 400,
  'target-gap-ms': 400,
  priority: 2,
  'max-attempts': 3,
  sticky: true,
  resumable: true,
  'due-ms': 18_000,
  'max-wait-s': 60,
  cap: 2_200_000
})

const CONFIGURATION = {
  version: 3,
  routes: [batchRoute('reviews', REVIEWS), batchRoute('audits', AUDITS)],
  services: [REVIEWS, AUDITS].map(name => ({ name, 'health-path': '/health', 'max-conns': 370, engine: { slots: 8 } })),
  limits: { 'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000 }
}

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, trouble, onEnd }) => {
  const [storeIp, gatewayIp, ...sideIps] = await chooseIps(2 + REVIEW_REPLICAS + 1)
  const store = await startStore(storeIp)
  onEnd(store.close)
  store.put('op', 'config', CONFIGURATION)

  const runs = []
  const replicaOf = async (id, service, ip, port) => {
    const replica = await startReplica(store, {
      id,
      service,
      ip,
      port,
      slots: 8,
      eventCount: 40,
      eventMs: 25,
      onRun: run => {
        runs.push(run)
        record.note('item run', { replica: run.id, service: run.service, item: run.requestId, path: run.path })
      }
    })
    onEnd(replica.close)
    record.note('replica listed', { replica: id, service, address: replica.address })
    return replica
  }
  const reviewers = []
  for (let index = 0; index < REVIEW_REPLICAS; index++) reviewers.push(await replicaOf(`i-review-${index + 1}`, REVIEWS, sideIps[index]))
  const [first, ...others] = reviewers
  const auditor = await replicaOf('i-audit-1', AUDITS, sideIps[REVIEW_REPLICAS])

  const peerPort = await freePort([gatewayIp, ...sideIps])
  const front = `${gatewayIp}:${await freePort([gatewayIp])}`
  const ready = `${gatewayIp}:${await freePort([gatewayIp])}`
  const processes = createProcesses({ storeAddress: store.address, peerPort, seedIps: [gatewayIp], record })
  onEnd(processes.endAll)
  processes.startGateway('frontend-1', gatewayIp, front.split(':')[1], ready.split(':')[1])
  const agent = processes.startAgent('side-1', sideIps[0], first.address, REVIEWS)
  others.forEach((replica, index) => processes.startAgent(`side-${index + 2}`, sideIps[index + 1], replica.address, REVIEWS))
  processes.startAgent(`side-${REVIEW_REPLICAS + 1}`, sideIps[REVIEW_REPLICAS], auditor.address, AUDITS)
  await untilReady(ready)
  await sleep(2000)

  if (trouble) {
    first.loseForGood()
    record.note('replica lost for good', { replica: first.id })
    await sleep(REUSE_AFTER_MS)
    await replicaOf('i-audit-2', AUDITS, sideIps[0], Number(first.address.split(':')[1]))
    // The settings of that machine change with its replica.
    agent.rewrite({ service: AUDITS })
    agent.child.kill('SIGHUP')
    record.note('settings file rewritten', { node: 'side-1', service: AUDITS })
    // All machines are in touch, and know the list.
    await sleep(BOUNDS['contact-ms'] + 1000)
  }

  const jobs = Array.from({ length: JOB_COUNT }, () => makeJob('/reviews/', ITEMS_PER_JOB))
  for (const job of jobs) await submit(front, HOST, job, record)
  const untilMs = performance.now() + 25_000
  let results = []
  while (performance.now() < untilMs && results.length < JOB_COUNT * ITEMS_PER_JOB) {
    await sleep(500)
    results = (await Promise.all(jobs.map(async job => await readAll(front, HOST, job)))).flat()
  }
  const completed = results.filter(result => result.state === 'completed').length
  record.note('results', { completed, of: JOB_COUNT * ITEMS_PER_JOB })

  const itemIds = new Set(jobs.flatMap(job => job.items.map(item => item.id)))
  const foreign = runs.filter(run => itemIds.has(run.requestId) && run.service !== REVIEWS)
  record.note('items of the route to service assistants that ran at a replica of another service', { count: foreign.length, items: foreign.map(run => run.requestId) })
  console.log(`${foreign.length} of ${itemIds.size} items ran at a replica of a service to which no configuration sends them; ${completed} completed`)
  if (foreign.length > 0) return EXIT.broken
  return completed === itemIds.size ? EXIT.held : EXIT.couldNotRun
})
