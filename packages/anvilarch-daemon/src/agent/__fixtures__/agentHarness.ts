/** Runs an agent in the test process, with endpoints of the test and clients like those of a gateway. */
import { type Client, createClient } from '@connectrpc/connect'
import { createGrpcTransport, Http2SessionManager } from '@connectrpc/connect-node'
import { type ConfigurationDocument, DEFAULT_AGENT_SETTINGS, type AgentSettings, type DaemonSettings, type EndpointSettings, hashDocument, canonicalJson } from 'anvilarch-configuration'
import { type AttemptFrame, AgentService, type Final, type PlatformPorts, type Refused, type Row } from 'anvilarch-protocol'
import { createLifecycleManager, createRandom, createSystemClock, onViolation, SILENT_LOGGER } from 'anvilarch-utils'
import { createConfigurationHolder } from '../../configuration/createConfigurationHolder'
import type { DaemonContext } from '../../context'
import { createMetrics } from '../../metrics/createMetrics'
import { createTimeline } from '../../timeline/createTimeline'
import type { AgentOptions } from '../options'
import { startAgent } from '../startAgent'
import type { AgentHandle } from '../types'

/** A configuration with a service of each kind. */
export const TEST_DOCUMENT = {
  formatVersion: 1,
  regions: { local: { failureDomains: ['domain-a'] } },
  models: { small: { versions: { 1: { sizeBytes: 1000 }, 2: { sizeBytes: 1000 } }, adapters: [] } },
  services: {
    assistant: { kind: 'model', model: 'small', version: '1', replicas: 1 },
    lookup: { kind: 'plain', replicas: 1, routes: [{ method: 'GET', path: '/names/:name', idempotent: true }] }
  }
} as unknown as ConfigurationDocument

/** Options of `startAgentHarness`. */
export interface HarnessOptions {
  endpoints: Array<Partial<EndpointSettings> & Pick<EndpointSettings, 'name' | 'kind' | 'url'>>
  agent?: Partial<AgentSettings>
  options?: Partial<AgentOptions>
  incarnation?: string
  /** Rows of the table; reads reject while `isDown` returns true. */
  table?: { rows: Map<string, string>, isDown: () => boolean }
  withoutDocument?: boolean
}

/** A running agent with a client. */
export interface AgentHarness {
  agent: AgentHandle
  context: DaemonContext
  client: Client<typeof AgentService>
  /** Opens another connection, directly or through a relay. */
  connect: (address?: string) => Client<typeof AgentService>
  incarnation: string
  /** Invariant violations. */
  violations: string[]
  /** Names of the timeline events of one attempt. */
  events: (attemptId: string) => string[]
  stop: () => Promise<void>
}

/**
 * @param given - endpoints and settings
 * @returns the running agent
 */
export async function startAgentHarness (given: HarnessOptions): Promise<AgentHarness> {
  const clock = createSystemClock()
  const metrics = createMetrics()
  const timeline = createTimeline({ clock, process: 'agent', capacity: 10_000 })
  const incarnation = given.incarnation ?? 'incarnation-1'
  const violations: string[] = []
  const stopListening = onViolation((name, detail) => { violations.push(`${name}: ${detail}`) })
  const context: DaemonContext = {
    settings: settingsOf(given),
    incarnation,
    clock,
    random: createRandom(1),
    logger: SILENT_LOGGER,
    metrics,
    timeline,
    platform: createFakePlatform(given.table),
    configuration: createConfigurationHolder({ logger: SILENT_LOGGER, metrics, timeline })
  }
  if (given.withoutDocument !== true) offerDocument(context, 1, TEST_DOCUMENT)
  const lifecycle = createLifecycleManager({ clock })
  const agent = await startAgent(context, lifecycle, { tickMs: 20, probeIntervalMs: 200, drainLingerMs: 0, ...given.options })
  const managers: Http2SessionManager[] = []
  const connect = (address = agent.address): Client<typeof AgentService> => {
    const manager = new Http2SessionManager(`http://${address}`)
    managers.push(manager)
    return createClient(AgentService, createGrpcTransport({ baseUrl: `http://${address}`, sessionManager: manager }))
  }
  return {
    agent,
    context,
    client: connect(),
    connect,
    incarnation,
    violations,
    events: attemptId => timeline.query({ limit: 10_000 }).filter(event => event.attemptId === attemptId).map(event => event.event),
    stop: async () => {
      for (const manager of managers) manager.abort()
      await lifecycle.stop()
      stopListening()
    }
  }
}

/** Offers a configuration document to an agent under a version. */
export function offerDocument (context: DaemonContext, version: number, document: ConfigurationDocument): string {
  return context.configuration.offer({ version, hash: hashDocument(document), documentJson: canonicalJson(document) })
}

function settingsOf (given: HarnessOptions): DaemonSettings {
  const endpoints = given.endpoints.map(endpoint => ({ checksFencing: false, slots: 4, ...endpoint }))
  return {
    role: 'agent',
    name: 'agent-1',
    host: 'host-1',
    failureDomain: 'domain-a',
    region: 'local',
    listen: { peers: '127.0.0.1:0', operations: '127.0.0.1:0' },
    agent: { ...DEFAULT_AGENT_SETTINGS, heartbeatMs: 100, endpointSilenceMs: 300, drainTimeoutMs: 5000, ...given.agent, endpoints }
  } as unknown as DaemonSettings
}

function createFakePlatform (table: HarnessOptions['table']): PlatformPorts {
  const read = async (keys: string[]): Promise<Array<Row | null>> => {
    if (table?.isDown() === true) throw new Error('the table is down')
    return keys.map(key => {
      const value = table?.rows.get(key)
      return value === undefined ? null : { key, version: 1, value }
    })
  }
  return { table: { read } } as unknown as PlatformPorts
}

/** Fields of a start message; all but the id have defaults. */
export interface StartFields {
  attemptId: string
  service?: string
  endpoint?: string
  workClass?: string
  outputMode?: string
  idempotent?: boolean
  isolated?: boolean
  soloFirstToken?: boolean
  remainingMs?: number
  method?: string
  path?: string
  body?: object
  fingerprint?: string
  agentIncarnation?: string
  configurationVersion?: bigint
}

/**
 * @param fields - fields that differ from the defaults
 * @returns a complete start message
 */
export function startMessage (fields: StartFields) {
  const body = fields.body === undefined ? new Uint8Array(0) : Buffer.from(JSON.stringify(fields.body))
  return {
    requestId: `request-${fields.attemptId}`,
    attemptId: fields.attemptId,
    fingerprint: fields.fingerprint ?? `fingerprint of ${fields.attemptId}`,
    workClass: fields.workClass ?? 'online',
    service: fields.service ?? 'assistant',
    endpoint: fields.endpoint ?? 'engine',
    caller: 'caller',
    remainingMs: fields.remainingMs ?? 20_000,
    idempotent: fields.idempotent ?? true,
    configurationVersion: fields.configurationVersion ?? 1n,
    agentIncarnation: fields.agentIncarnation ?? 'incarnation-1',
    call: {
      method: fields.method ?? 'POST',
      path: fields.path ?? '/v1/chat/completions',
      headers: [{ name: 'content-type', value: 'application/json' }],
      body
    },
    outputMode: fields.outputMode ?? 'whole',
    isolated: fields.isolated ?? false,
    soloFirstToken: fields.soloFirstToken ?? false
  }
}

/** Frames received by one reader. */
export interface ReadAttempt {
  frames: AttemptFrame[]
  refused: Refused | undefined
  status: number
  output: Buffer
  final: Final | undefined
}

/**
 * Reads all frames and checks that offsets are contiguous and that the total matches.
 *
 * @param frames - frames of one call
 * @param fromByte - offset of the first output
 * @returns the frames and their content
 */
export async function readFrames (frames: AsyncIterable<AttemptFrame>, fromByte = 0): Promise<ReadAttempt> {
  const read: ReadAttempt = { frames: [], refused: undefined, status: 0, output: Buffer.alloc(0), final: undefined }
  for await (const frame of frames) {
    read.frames.push(frame)
    addFrame(read, frame, fromByte)
  }
  if (read.final !== undefined && read.final.totalBytes > 0n) expect(Number(read.final.totalBytes)).toBe(fromByte + read.output.length)
  return read
}

function addFrame (read: ReadAttempt, frame: AttemptFrame, fromByte: number): void {
  const { kind } = frame
  if (kind.case === 'refused') read.refused = kind.value
  if (kind.case === 'head') read.status = kind.value.status
  if (kind.case === 'final') read.final = kind.value
  if (kind.case !== 'output') return
  expect(Number(kind.value.offsetBytes)).toBe(fromByte + read.output.length)
  read.output = Buffer.concat([read.output, kind.value.data])
}

/**
 * @param output - server-sent events
 * @returns the text of all tokens, their number, and whether the end mark was received
 */
export function textOfEvents (output: Buffer): { text: string, tokens: number, isWhole: boolean } {
  let text = ''
  let tokens = 0
  let isWhole = false
  for (const line of output.toString().split('\n\n')) {
    if (line === 'data: [DONE]') isWhole = true
    if (!line.startsWith('data: {')) continue
    const chunk = JSON.parse(line.slice('data: '.length)) as { choices: Array<{ text?: string, delta?: { content?: string } }> }
    const token = chunk.choices[0]?.text ?? chunk.choices[0]?.delta?.content ?? ''
    if (token !== '') tokens++
    text += token
  }
  return { text, tokens, isWhole }
}

const MAX_CONDITION_CHECKS = 4000
const CONDITION_INTERVAL_MS = 5

/**
 * Waits for a condition.
 *
 * @param condition - checked every few milliseconds
 * @throws Error if the condition has not become true for at least 20 s
 */
export async function waitUntil (condition: () => boolean): Promise<void> {
  for (let tries = 0; tries < MAX_CONDITION_CHECKS; tries++) {
    if (condition()) return
    await new Promise(resolve => { setTimeout(resolve, CONDITION_INTERVAL_MS) })
  }
  throw new Error(`never came true: ${String(condition)}`)
}
