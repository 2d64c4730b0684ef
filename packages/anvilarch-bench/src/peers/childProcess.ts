/**
 * Child processes that the bench starts in addition to the fleet. A child prints one JSON line when it is ready and serves
 * its counters at `/stats`.
 */
import { type ChildProcess, fork } from 'node:child_process'
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { request } from 'undici'

/** The line that a child prints when it is ready. */
export interface ChildReady<Details> {
  statsUrl: string
  details: Details
}

/** A running child. */
export interface BenchChild<Details, Stats> {
  pid: number
  details: Details
  stats: () => Promise<Stats>
  /** Stops the child and waits for its exit. */
  stop: () => Promise<void>
}

const BIN_DIRECTORY = join(__dirname, '..', 'bin')

/**
 * @param script - name of a script in `bin`
 * @param options - passed to it as one JSON argument
 * @returns the child, ready
 * @throws when the child exits before it is ready
 */
export async function startChild<Details, Stats> (script: string, options: object): Promise<BenchChild<Details, Stats>> {
  const child = fork(join(BIN_DIRECTORY, script), [JSON.stringify(options)], { stdio: ['ignore', 'pipe', 'inherit', 'ipc'] })
  const ready = await readFirstLine(child, script)
  const { statsUrl, details } = JSON.parse(ready) as ChildReady<Details>
  return {
    pid: child.pid as number,
    details,
    stats: async () => await (await request(statsUrl)).body.json() as Stats,
    stop: async () => {
      if (child.exitCode !== null || child.signalCode !== null) return
      const exited = once(child, 'exit')
      child.kill('SIGTERM')
      await exited
    }
  }
}

/**
 * Called in the child: serves the counters, prints the line and exits when the bench disconnects, so that no process remains
 * after the bench was killed.
 *
 * @param details - passed to the bench
 * @param stats - returns the current counters
 */
export async function reportReady (details: object, stats: () => object): Promise<void> {
  const server = createServer((_request, response) => {
    response.setHeader('content-type', 'application/json')
    response.end(JSON.stringify(stats()))
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  process.on('disconnect', () => { process.exit(0) })
  process.on('SIGTERM', () => { process.exit(0) })
  const statsUrl = `http://127.0.0.1:${(server.address() as AddressInfo).port}/stats`
  process.stdout.write(JSON.stringify({ statsUrl, details } satisfies ChildReady<object>) + '\n')
}

async function readFirstLine (child: ChildProcess, script: string): Promise<string> {
  const lines = createInterface({ input: child.stdout as NodeJS.ReadableStream })
  const ended = once(child, 'exit').then(([code]) => { throw new Error(`${script} exited with code ${String(code)} before it was ready`) })
  ended.catch(() => {})
  const [line] = await Promise.race([once(lines, 'line') as Promise<[string]>, ended])
  return line
}
