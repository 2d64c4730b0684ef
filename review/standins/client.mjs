/** Stand-in for clients of batch jobs. Each call opens a new connection, as PROTOCOL.md says. */
import { randomBytes } from 'node:crypto'
import { request as httpRequest } from 'node:http'

export const sleep = async ms => await new Promise(resolve => setTimeout(resolve, ms))

/** @returns an id as clients make them */
export const newId = () => randomBytes(8).toString('hex')

/** @returns status and body of one call; status 0 if it got no answer */
export async function call (address, { method, path, host, headers = {}, body, timeoutMs = 4000 }) {
  const [ip, port] = address.split(':')
  return await new Promise(resolve => {
    const bytes = body === undefined ? undefined : Buffer.from(JSON.stringify(body))
    const sent = httpRequest({ host: ip, port: Number(port), method, path, agent: false, timeout: timeoutMs, headers: { Host: host, ...headers, ...bytes === undefined ? {} : { 'Content-Type': 'application/json', 'Content-Length': bytes.length } } }, response => {
      const chunks = []
      response.on('data', chunk => chunks.push(chunk))
      response.on('error', () => resolve({ status: 0, text: 'broken off' }))
      response.on('end', () => resolve({ status: response.statusCode, text: Buffer.concat(chunks).toString(), headers: response.headers }))
    })
    sent.on('timeout', () => sent.destroy(new Error('timeout')))
    sent.on('error', error => resolve({ status: 0, text: error.message }))
    sent.end(bytes)
  })
}

/** Waits until a gateway reports itself ready. */
export async function untilReady (address, limitMs = 15_000) {
  const untilMs = performance.now() + limitMs
  while (performance.now() < untilMs) {
    if ((await call(address, { method: 'GET', path: '/-/ready', host: 'ready', timeoutMs: 1000 })).status === 200) return
    await sleep(200)
  }
  throw new Error('the gateway is not ready')
}

/** @returns a job of `count` items under a path prefix */
export function makeJob (pathPrefix, count) {
  const items = Array.from({ length: count }, () => ({
    id: newId(),
    path: `${pathPrefix}3/${newId().slice(0, 4)}`,
    headers: { 'X-Model': 'm', 'X-Token-Counts': '350,242', 'X-Prompt-Prefix': '9c2e41:100,5d07b8:250' },
    body: Buffer.from('review this renewal').toString('base64'),
    tokens: 592
  }))
  return { id: newId(), path: `${pathPrefix}${newId().slice(0, 6)}`, items }
}

/** Submits a job until it is accepted. */
export async function submit (address, host, job, record) {
  for (let tries = 0; tries < 10; tries++) {
    const answer = await call(address, { method: 'POST', path: job.path, host, headers: { 'X-Request-Id': job.id, 'X-Deadline-Ms': '4000' }, body: { items: job.items } })
    record.note('job sent', { job: job.id, items: job.items.length, status: answer.status })
    if (answer.status === 202) return
    await sleep(500)
  }
  throw new Error('the job was not accepted')
}

/** @returns all results of a job from its start */
export async function readAll (address, host, job) {
  const results = []
  for (let tries = 0; tries < 50; tries++) {
    const answer = await call(address, { method: 'GET', path: `/-/lots/${job.id}?after=${results.length}`, host })
    if (answer.status !== 200) {
      await sleep(300)
      continue
    }
    const page = JSON.parse(answer.text)
    results.push(...page.results)
    if (page.results.length === 0 || results.length >= page.total) return results
  }
  throw new Error('the results cannot be read')
}
