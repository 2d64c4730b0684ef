/**
 * Answers of the store are lost, and a replica is lost for good (SYSTEM.md, Disruptions; RULES.md, Batch jobs, LOST).
 * The items that the agent beside it has claimed without knowing have to be run by others.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { makeJob, readAll, sleep, submit, untilReady } from '../standins/client.mjs'
import { BOUNDS, chooseIps, createProcesses, EXIT, freePort, runCase } from '../standins/deployment.mjs'
import { startReplica } from '../standins/replica.mjs'
import { startStore } from '../standins/store.mjs'

const HOST = 'registrars.example'
const SERVICE = 'assistants'
const JOB_COUNT = 6
const ITEMS_PER_JOB = 10
const AGENT_COUNT = 6

/** Of the writes, this share is performed and not answered, for this long (the site's `platform_lost`). */
const LOST_SHARE = 0.35
const LOST_MS = 4500

/** From the start of the loss to the end of the first replica. */
const CRASH_AFTER_MS = 3000

const MS_PER_S = 1000

const CONFIGURATION = {
  version: 3,
  routes: [{
    name: 'reviews',
    host: HOST,
    'path-prefix': '/reviews/',
    'route-type': 'batch',
    service: SERVICE,
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
  }],
  services: [{ name: SERVICE, 'health-path': '/health', 'max-conns': 370, engine: { slots: 8 } }],
  limits: { 'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000 }
}

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, trouble, onEnd }) => {
  const [storeIp, gatewayIp, ...sideIps] = await chooseIps(2 + AGENT_COUNT)
  let lostUntilMs = -Infinity
  const answerLost = (call, status) => {
    if (status !== 200 || performance.now() > lostUntilMs || Math.random() >= LOST_SHARE) return false
    const rows = call.put?.map(row => `${row.table} ${row.key}`) ?? []
    record.note('answer of the store lost', { rows })
    return true
  }
  const store = await startStore(storeIp, { answerLost })
  onEnd(store.close)
  store.put('op', 'config', CONFIGURATION)

  let lastRunAtS = -Infinity
  const replicas = []
  for (const [index, ip] of sideIps.entries()) {
    const replica = await startReplica(store, {
      id: `i-review-${index + 1}`,
      service: SERVICE,
      ip,
      slots: 8,
      eventCount: 40,
      eventMs: 25,
      onRun: run => record.note('item run', { replica: run.id, item: run.requestId, lastEventId: run.lastEventId }),
      onRunEnd: run => {
        lastRunAtS = record.secondsNow()
        record.note('item run ended', { replica: run.id, item: run.requestId, end: run.end, events: run.events })
      }
    })
    onEnd(replica.close)
    replicas.push(replica)
  }

  const peerPort = await freePort([gatewayIp, ...sideIps])
  const front = `${gatewayIp}:${await freePort([gatewayIp])}`
  const ready = `${gatewayIp}:${await freePort([gatewayIp])}`
  const processes = createProcesses({ storeAddress: store.address, peerPort, seedIps: [gatewayIp], record })
  onEnd(processes.endAll)
  processes.startGateway('frontend-1', gatewayIp, front.split(':')[1], ready.split(':')[1])
  sideIps.forEach((ip, index) => processes.startAgent(`side-${index + 1}`, ip, replicas[index].address, SERVICE))
  await untilReady(ready)
  await sleep(3000)

  const jobs = Array.from({ length: JOB_COUNT }, () => makeJob('/reviews/', ITEMS_PER_JOB))
  const startedAtMs = performance.now()
  if (trouble) {
    lostUntilMs = startedAtMs + LOST_MS
    record.note('answers of the store begin to be lost', { share: LOST_SHARE, forMs: LOST_MS })
  }
  await Promise.all(jobs.map(async (job, index) => {
    await sleep(index * 500)
    await submit(front, HOST, job, record)
  }))
  await sleep(Math.max(0, startedAtMs + CRASH_AFTER_MS - performance.now()))
  if (trouble) {
    replicas[0].loseForGood()
    record.note('replica lost for good', { replica: replicas[0].id })
  }
  await sleep(Math.max(0, startedAtMs + LOST_MS - performance.now()))
  record.note('answers of the store are no longer lost', {})

  // Traffic has ended. The jobs have `finish-s`, and the store has been stable for `contact-ms` long before its end.
  const itemCount = JOB_COUNT * ITEMS_PER_JOB
  const checkedAtMs = performance.now() + (BOUNDS['finish-s'] * MS_PER_S) + BOUNDS['contact-ms']
  let results = []
  while (performance.now() < checkedAtMs) {
    await sleep(500)
    results = (await Promise.all(jobs.map(async job => await readAll(front, HOST, job)))).flat()
    if (results.length === itemCount) break
  }
  const listed = new Set(results.map(result => result.id))
  const missing = jobs.flatMap(job => job.items).filter(item => !listed.has(item.id)).map(item => item.id)
  const idleS = replicas.some(replica => replica.running() + replica.waiting() > 0) ? 0 : record.secondsNow() - lastRunAtS
  const held = store.rows('claims').map(row => JSON.parse(Buffer.from(row.value, 'base64').toString())).filter(claim => claim.held === true)
  record.note('results', { listed: results.length, of: itemCount, missing, replicasIdleS: Math.round(idleS) })
  record.note('rows of claims that are held', { runners: held.map(claim => claim.runner) })
  console.log(`${missing.length} of ${itemCount} items are listed neither as completed nor as dead_letter; the replicas have been idle for ${Math.round(idleS)} s`)
  if (missing.length === 0) return EXIT.held
  // The rule excuses items while replicas are at work on them, or just were.
  return idleS > 5 ? EXIT.broken : EXIT.couldNotRun
})
