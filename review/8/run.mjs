// A request that crashes each plain replica that begins to run it comes again and again, at any gateway.
import { fileURLToPath } from 'node:url'
import { createClient } from '../standins-2/client.mjs'
import { configuration } from '../standins-2/configuration.mjs'
import { createAddresses, createFleet, runCase, sleep, untilReady } from '../standins-2/fleet.mjs'
import { startReplica } from '../standins-2/replica.mjs'
import { startStore } from '../standins-2/store.mjs'

const CONTACT_MS = 3000
const REPLICA_DOWN_MS = 2000
const RETRY_MS = 2000
const PLAY_MS = 60_000
/** Other lookups of each gateway: a quiet hour. */
const LOOKUP_INTERVAL_MS = 10_000
const MOST_RETRIES = 3
const CRASHING_BODY = '{"name":"crash.example"}'

await runCase(fileURLToPath(new URL('.', import.meta.url)), async ({ record, onClose, trouble }) => {
  const nextIp = await createAddresses()
  const store = await startStore(await nextIp())
  onClose(store.close)
  store.put('op', 'config', configuration(1))
  const fleet = createFleet({ store })
  onClose(fleet.close)
  const replicas = []
  for (const zone of ['a', 'b', 'c']) {
    const plan = ({ body }) => trouble && body === CRASHING_BODY ? { crash: true } : { workMs: 40 }
    const replica = await startReplica({ ip: await nextIp(), store, service: 'plain', streams: false, zone, slots: 6, plan, downMs: REPLICA_DOWN_MS, record: record.line })
    onClose(replica.close)
    replicas.push(replica)
  }
  const gateways = []
  for (const zone of ['a', 'b', 'c']) gateways.push(await fleet.startGateway(await nextIp(), zone))
  await Promise.all(gateways.map(gateway => untilReady(gateway)))
  await sleep(4000)

  const startedAtMs = performance.now()
  const hasTime = () => performance.now() - startedAtMs < PLAY_MS
  const lookups = { served: 0, failed: 0 }
  const lookUp = async (gateway, index) => {
    await sleep(index * LOOKUP_INTERVAL_MS / gateways.length)
    for (let count = 0; hasTime(); count++) {
      const client = createClient(gateway.front)
      const id = `lookup-${index}-${count}`
      const outcome = await client.send({ path: `/lookup/${id}`, id, headers: { 'X-Deadline-Ms': '2500' }, body: `{"name":"${id}"}` })
      client.close()
      if (outcome.status === 200) lookups.served++
      else lookups.failed++
      await sleep(LOOKUP_INTERVAL_MS)
    }
  }
  const attempts = []
  const crashAgain = async () => {
    for (let count = 0; hasTime(); count++) {
      const gateway = gateways[count % gateways.length]
      const id = `crash-${count}`
      const sentAtMs = performance.now()
      const client = createClient(gateway.front)
      const outcome = await client.send({ path: '/lookup/crash', id, headers: { 'X-Deadline-Ms': '2500' }, body: CRASHING_BODY })
      client.close()
      const runs = replicas.flatMap(replica => replica.runs).filter(run => run.requestId === id)
      attempts.push({ id, sentAtMs, runs })
      record.line(`${id} at ${gateway.name}: status ${outcome.status}, ran at ${runs.map(run => run.replica).join(', ') || 'no replica'}`)
      await sleep(Math.max(0, RETRY_MS - (performance.now() - sentAtMs)))
    }
  }
  await Promise.all([crashAgain(), ...gateways.map(lookUp)])

  const crashes = attempts.flatMap(attempt => attempt.runs).filter(run => run.end === 'crashed').sort((a, b) => a.atMs - b.atMs)
  record.line(`crashes: ${crashes.length}; other lookups served: ${lookups.served}, failed: ${lookups.failed}; suspects in the store: ${JSON.stringify(store.rows('suspects').map(row => row.value))}`)
  if (crashes.length < 3) return false
  const boundMs = crashes[2].atMs + CONTACT_MS
  const late = attempts.filter(attempt => attempt.runs.some(run => run.atMs > boundMs))
  record.line(`retries that reached replicas later than ${CONTACT_MS} ms after the third crash: ${late.length}, allowed are ${MOST_RETRIES}`)
  return late.length > MOST_RETRIES
})
