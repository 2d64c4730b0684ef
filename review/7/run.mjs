// Planned work: a gateway gets SIGTERM while a replica preempts one of its streams for a moment and the other replicas are full.
import { fileURLToPath } from 'node:url'
import { createClient } from '../standins-2/client.mjs'
import { configuration } from '../standins-2/configuration.mjs'
import { createAddresses, createFleet, runCase, sleep, untilReady } from '../standins-2/fleet.mjs'
import { startReplica } from '../standins-2/replica.mjs'
import { startStore } from '../standins-2/store.mjs'

const EVENTS = 40
const INTERVAL_MS = 50
/** A preempted request is read again from the start, which takes this long here. Clients wait for the next event for 3200 ms. */
const PAUSE_MS = 700
const PAUSE_BEFORE_EVENT = 25
const TERM_AFTER_MS = 400
const GRACE_MS = 8000

await runCase(fileURLToPath(new URL('.', import.meta.url)), async ({ record, onClose, trouble }) => {
  const nextIp = await createAddresses()
  const store = await startStore(await nextIp())
  onClose(store.close)
  store.put('op', 'config', configuration(1))
  const fleet = createFleet({ store })
  onClose(fleet.close)
  const replicas = []
  let fullFor
  const plan = index => ({ requestId }) => {
    fullFor ??= index
    // The replica that got the first stream has room for it; the others are full with requests of other gateways.
    if (index !== fullFor) return { refuse: true }
    return { events: EVENTS, intervalMs: INTERVAL_MS, ...trouble && requestId.startsWith('stream') ? { pauseBefore: PAUSE_BEFORE_EVENT, pauseMs: PAUSE_MS } : {} }
  }
  for (const [index, zone] of ['a', 'b'].entries()) {
    const ip = await nextIp()
    const replica = await startReplica({ ip, store, service: 'models', streams: true, zone, plan: plan(index) })
    onClose(replica.close)
    replicas.push(replica)
    await fleet.startAgent(ip, replica.address, zone)
  }
  const gateways = []
  for (const zone of ['a', 'b']) gateways.push(await fleet.startGateway(await nextIp(), zone))
  await Promise.all(gateways.map(gateway => untilReady(gateway)))
  await sleep(4000)

  const [gateway] = gateways
  const term = { atMs: NaN }
  const broken = []
  const read = async index => {
    const id = `stream-${index}`
    const client = createClient(gateway.front)
    onClose(client.close)
    record.line(`client ${index} sends ${id}`)
    const outcome = await client.send({ path: `/drafts/${id}`, id, headers: { 'X-Deadline-Ms': '5000', 'X-Model': 'm', 'X-Token-Counts': '350,280', 'X-Prompt-Prefix': '1a:100,2b:250' }, body: 'x' })
    const events = (outcome.text.match(/^id: /gm) ?? []).length
    record.line(`client ${index}: ${id} status ${outcome.status}, ${events} of ${EVENTS} events, ${outcome.complete ? 'complete' : `broken off (${outcome.error})`} after ${outcome.elapsedMs} ms, ${Math.round(performance.now() - term.atMs)} ms after SIGTERM`)
    for (const run of replicas.flatMap(replica => replica.runs).filter(run => run.requestId === id)) record.line(`  ${id} ran at ${run.replica}: ${run.sent} events, ${run.end}`)
    const isWhole = outcome.complete && outcome.status === 200 && events === EVENTS
    if (!isWhole && outcome.elapsedMs < 4900 && performance.now() - term.atMs < GRACE_MS + 1000) broken.push(id)
  }
  const reads = [0, 1, 2].map(read)
  await sleep(TERM_AFTER_MS)
  term.atMs = performance.now()
  record.line(`SIGTERM to ${gateway.name}`)
  gateway.child.kill('SIGTERM')
  await Promise.all(reads)
  await Promise.race([gateway.exited, sleep(9000)])
  record.line(`${gateway.name} ended ${Math.round(performance.now() - term.atMs)} ms after SIGTERM`)
  record.line(`requests that were read, passed on and broken off around planned work: ${broken.length}`)
  return broken.length > 0
})
