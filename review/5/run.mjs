// Planned work: a gateway gets SIGTERM while a client reads a stream on a kept connection, on which it then sends the next one.
import { fileURLToPath } from 'node:url'
import { createClient } from '../standins-2/client.mjs'
import { configuration } from '../standins-2/configuration.mjs'
import { createAddresses, createFleet, runCase, sleep, untilReady } from '../standins-2/fleet.mjs'
import { startReplica } from '../standins-2/replica.mjs'
import { startStore } from '../standins-2/store.mjs'

const EVENTS = 45
const INTERVAL_MS = 100
/** Time between the first requests of two clients. */
const CLIENT_GAP_MS = 400
const TERM_AFTER_MS = 300
const GRACE_MS = 8000

await runCase(fileURLToPath(new URL('.', import.meta.url)), async ({ record, onClose, trouble }) => {
  const nextIp = await createAddresses()
  const store = await startStore(await nextIp())
  onClose(store.close)
  store.put('op', 'config', configuration(1))
  const fleet = createFleet({ store })
  onClose(fleet.close)
  const replicas = []
  for (const zone of ['a', 'b', 'c']) {
    const ip = await nextIp()
    const replica = await startReplica({ ip, store, service: 'models', streams: true, zone, plan: () => ({ events: EVENTS, intervalMs: INTERVAL_MS }) })
    onClose(replica.close)
    replicas.push(replica)
    await fleet.startAgent(ip, replica.address, zone)
  }
  const gateways = []
  for (const zone of ['a', 'b']) gateways.push(await fleet.startGateway(await nextIp(), zone))
  await Promise.all(gateways.map(gateway => untilReady(gateway)))
  await sleep(4000)

  const [gateway] = gateways
  const clients = [1, 2, 3].map(() => createClient(gateway.front))
  for (const client of clients) onClose(client.close)
  let termAtMs
  const broken = []
  const converse = async (client, index) => {
    for (const part of ['first', 'second']) {
      const id = `${part}-${index}`
      const sentAtMs = performance.now()
      const sinceTerm = termAtMs === undefined ? 'before SIGTERM' : `${Math.round(sentAtMs - termAtMs)} ms after SIGTERM`
      record.line(`client ${index} sends ${id}, ${sinceTerm}`)
      const outcome = await client.send({ path: `/drafts/${id}`, id, headers: { 'X-Deadline-Ms': '5000', 'X-Model': 'm', 'X-Token-Counts': '350,310', 'X-Prompt-Prefix': '1a:100,2b:250' }, body: 'x' })
      const events = (outcome.text.match(/^id: /gm) ?? []).length
      record.line(`client ${index}: ${id} status ${outcome.status}, ${events} of ${EVENTS} events, ${outcome.complete ? 'complete' : `broken off (${outcome.error})`} after ${outcome.elapsedMs} ms, ${outcome.reused ? 'on the kept connection' : 'on a new connection'}, Connection: ${outcome.headers.connection}`)
      const runs = replicas.flatMap(replica => replica.runs).filter(run => run.requestId === id)
      for (const run of runs) record.line(`  ${id} ran at ${run.replica}: ${run.sent} events, ${run.end}`)
      if (outcome.complete && outcome.status === 200) continue
      // Counted: read and passed on, sent later than 3 s after the SIGTERM, broken off before the deadline and inside the grace period.
      const counts = runs.length > 0 && termAtMs !== undefined && sentAtMs - termAtMs > 3000 && outcome.elapsedMs < 4900 && performance.now() - termAtMs < GRACE_MS + 1000
      if (counts) broken.push(id)
    }
  }
  const conversations = []
  for (const [index, client] of clients.entries()) {
    if (index > 0) await sleep(CLIENT_GAP_MS)
    conversations.push(converse(client, index))
  }
  await sleep(TERM_AFTER_MS)
  if (trouble) {
    termAtMs = performance.now()
    record.line(`SIGTERM to ${gateway.name}`)
    gateway.child.kill('SIGTERM')
  }
  await Promise.all(conversations)
  if (trouble) {
    const exit = await Promise.race([gateway.exited, sleep(3000)])
    record.line(`${gateway.name} ended ${Math.round(performance.now() - termAtMs)} ms after SIGTERM: ${JSON.stringify(exit)}`)
  }
  record.line(`requests that were read, passed on and broken off around planned work: ${broken.length}`)
  return broken.length > 0
})
