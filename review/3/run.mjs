/**
 * A configuration removes the route of an accepted job (PROTOCOL.md, The operator's API; RULES.md, Batch jobs, LOST).
 * Each item that is still waiting has to be listed in the end, if only as given up.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { makeJob, readAll, sleep, submit, untilReady } from '../standins/client.mjs'
import { BOUNDS, chooseIps, createProcesses, EXIT, freePort, runCase } from '../standins/deployment.mjs'
import { startReplica } from '../standins/replica.mjs'
import { startStore } from '../standins/store.mjs'

const HOST = 'registrars.example'
const SERVICE = 'assistants'
const ITEM_COUNT = 20
const SLOTS = 4

/** After this long from the first send, an item may be given up. */
const MAX_WAIT_S = 60

/** From the acceptance of the job to the removal of its route. */
const REMOVED_AFTER_MS = 3000

const route = { host: HOST, service: SERVICE, 'timeout-ms': 15_000, 'target-latency-ms': 400, 'target-gap-ms': 400, sticky: true, resumable: true }

const BATCH_ROUTE = { ...route, name: 'reviews', 'path-prefix': '/reviews/', 'route-type': 'batch', priority: 2, 'max-attempts': 3, 'due-ms': 18_000, 'max-wait-s': MAX_WAIT_S, cap: 2_200_000 }
const STREAM_ROUTE = { ...route, name: 'drafts', 'path-prefix': '/drafts/', 'route-type': 'streaming', priority: 0, 'max-attempts': 2 }

const configurationOf = (version, routes) => ({
  version,
  routes,
  services: [{ name: SERVICE, 'health-path': '/health', 'max-conns': 370, engine: { slots: SLOTS } }],
  limits: { 'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000 }
})

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, trouble, onEnd }) => {
  const [storeIp, gatewayIp, sideIp] = await chooseIps(3)
  const store = await startStore(storeIp)
  onEnd(store.close)
  store.put('op', 'config', configurationOf(3, [STREAM_ROUTE, BATCH_ROUTE]))

  let lastRunAtS = -Infinity
  const replica = await startReplica(store, {
    id: 'i-review-1',
    service: SERVICE,
    ip: sideIp,
    slots: SLOTS,
    eventCount: 60,
    eventMs: 25,
    onRun: run => record.note('item run', { replica: run.id, item: run.requestId, lastEventId: run.lastEventId }),
    onRunEnd: run => {
      lastRunAtS = record.secondsNow()
      record.note('item run ended', { replica: run.id, item: run.requestId, end: run.end, events: run.events })
    }
  })
  onEnd(replica.close)

  const peerPort = await freePort([gatewayIp, sideIp])
  const front = `${gatewayIp}:${await freePort([gatewayIp])}`
  const ready = `${gatewayIp}:${await freePort([gatewayIp])}`
  const processes = createProcesses({ storeAddress: store.address, peerPort, seedIps: [gatewayIp], record })
  onEnd(processes.endAll)
  processes.startGateway('frontend-1', gatewayIp, front.split(':')[1], ready.split(':')[1])
  processes.startAgent('side-1', sideIp, replica.address, SERVICE)
  await untilReady(ready)
  await sleep(2000)

  const job = makeJob('/reviews/', ITEM_COUNT)
  await submit(front, HOST, job, record)
  const acceptedAtS = record.secondsNow()
  await sleep(REMOVED_AFTER_MS)
  if (trouble) {
    store.put('op', 'config', configurationOf(8, [STREAM_ROUTE]))
    record.note('configuration acknowledged', { version: 8, removed: BATCH_ROUTE.name })
  }

  // Traffic has ended. The job has `finish-s` after the time at which its items may be given up.
  const checkedAtS = acceptedAtS + MAX_WAIT_S + BOUNDS['finish-s']
  let results = []
  while (record.secondsNow() < checkedAtS) {
    await sleep(500)
    results = await readAll(front, HOST, job)
    if (results.length === ITEM_COUNT) break
  }
  const listed = new Set(results.map(result => result.id))
  const missing = job.items.filter(item => !listed.has(item.id)).map(item => item.id)
  const idleS = replica.running() + replica.waiting() > 0 ? 0 : record.secondsNow() - lastRunAtS
  const states = Object.fromEntries(['completed', 'dead_letter'].map(state => [state, results.filter(result => result.state === state).length]))
  record.note('results', { ...states, neither: missing.length, of: ITEM_COUNT, secondsSinceAcceptance: Math.round(record.secondsNow() - acceptedAtS), replicaIdleS: Math.round(idleS), missing })
  console.log(`${missing.length} of ${ITEM_COUNT} items are listed neither as completed nor as dead_letter; the replica has been idle for ${Math.round(idleS)} s`)
  if (missing.length === 0) return EXIT.held
  // The rule excuses items while replicas are at work on them, or just were.
  return idleS > 5 ? EXIT.broken : EXIT.couldNotRun
})
