/**
 * Simulation of one request: the real state machine, agents that follow the protocol, and a network whose messages a test
 * delivers, drops or duplicates one by one.
 */
import type { RefusalReason } from 'anvilarch-protocol'
import type { Target } from '../../routing/types'
import { createAttemptLedger } from '../attemptLedger'
import { createRequestState, stepRequest } from '../machine/requestMachine'
import type { AttemptState, RequestCommand, RequestEnd, RequestEvent, RequestState } from '../machine/types'

export const RESPONSE = 'abcdefgh'
/** How long a simulated agent retains an ended attempt. */
const RETENTION_MS = 60_000

interface SimulatedAttempt {
  endedMs: number | undefined
  outcome: 'completed' | 'cancelled' | 'endpoint_crashed' | undefined
  isolated: boolean
  wasAlone: boolean
  /** Offset in the response at which the output of this attempt begins. */
  from: number
  written: number
}

interface SimulatedAgent {
  target: Target
  alive: boolean
  /** Whether the directory of the gateway lists it. */
  listed: boolean
  refuse: RefusalReason | undefined
  attempts: Map<string, SimulatedAttempt>
  barred: Set<string>
  /** Ended attempts whose retention is over. */
  discarded: Set<string>
}

type Message =
  | { to: 'agent', agent: number, call: 'start' | 'resume' | 'cancel', attempt: AttemptState, stream: number, from: number }
  | { to: 'gateway', event: RequestEvent }

export interface SimulationOptions {
  agents: number
  idempotent: boolean
  /** Whether bytes are forwarded to the caller as they arrive, as in a stream. */
  streamed: boolean
}

export class SimulatedFleet {
  state: RequestState
  readonly agents: SimulatedAgent[]
  network: Message[] = []
  /** Ids of attempts that ran, to compare with the results that the machine reports. */
  readonly executions: string[] = []
  /** Number of starts that were sent after the fingerprint was quarantined. */
  startsInQuarantine = 0
  /** Resumptions since the last new output. */
  resumes = 0
  end: RequestEnd | undefined
  received = ''
  starts = 0
  nowMs = 0
  quarantined = false
  waiting = false
  readonly notes: string[] = []
  private readonly ledger = createAttemptLedger('r')

  constructor (private readonly options: SimulationOptions) {
    this.agents = Array.from({ length: options.agents }, (_, index) => ({
      target: { key: `a${index}/e`, agent: `a${index}`, address: '', endpoint: 'e', incarnation: '1', failureDomain: '', region: '' },
      alive: true,
      listed: true,
      refuse: undefined,
      attempts: new Map(),
      barred: new Set(),
      discarded: new Set()
    }))
    this.state = createRequestState({ requestId: 'r', fingerprint: 'f', idempotent: options.idempotent })
    this.apply({ kind: 'begin', suspect: false })
  }

  apply (event: RequestEvent): void {
    const before = this.state.attempt
    if (before !== undefined && 'stream' in event && event.stream === before.stream) this.ledger.event(event, before)
    const step = stepRequest(this.state, event, { nowMs: this.nowMs, deadlineMs: 1e9, retryAllowed: true, continuable: true, missing: undefined, quarantined: this.quarantined })
    this.state = step.state
    for (const command of step.commands) this.execute(command)
  }

  private execute (command: RequestCommand): void {
    switch (command.kind) {
      case 'choose': return this.choose(command.exclude)
      case 'start': return this.start(command.attempt)
      case 'resume': return this.resume(command.attempt)
      case 'cancel': return this.send('cancel', command.attempt, 0)
      case 'head': this.resumes = 0; return
      case 'wait_for_target': this.waiting = true; return
      case 'note': this.notes.push(command.note); return
      case 'output': return this.onOutput(command.data)
      case 'quarantine': this.quarantined = true; return
      case 'end':
        this.end = command.end
        this.ledger.ended(command.end.outcome === 'failed' ? command.end.ran : 'ran')
    }
  }

  private choose (exclude: readonly string[]): void {
    const agent = this.agents.find(each => each.listed && !exclude.includes(each.target.key))
    if (agent === undefined) this.apply({ kind: 'no_target' })
    else this.apply({ kind: 'chosen', target: { ...agent.target }, attemptId: `t${this.starts++}` })
  }

  private onOutput (data: Uint8Array): void {
    if (this.state.attempt !== undefined) this.ledger.output(this.state.attempt, data.length)
    this.received += Buffer.from(data).toString()
    this.resumes = 0
  }

  private resume (attempt: AttemptState): void {
    this.resumes++
    this.send('resume', attempt, 0)
  }

  private start (attempt: AttemptState): void {
    if (this.quarantined) this.startsInQuarantine++
    this.resumes = 0
    this.ledger.sent(attempt, this.options.idempotent)
    if (!this.options.streamed) this.received = ''
    this.send('start', attempt, this.received.length)
  }

  private send (call: 'start' | 'resume' | 'cancel', attempt: AttemptState, from: number): void {
    const agent = this.agents.findIndex(each => each.target.key === attempt.target.key)
    this.network.push({ to: 'agent', agent, call, attempt, stream: attempt.stream, from })
  }

  deliver (index: number, keep = false): void {
    const message = this.network[index % this.network.length]
    if (!keep) this.network.splice(this.network.indexOf(message), 1)
    if (message.to === 'gateway') this.apply(message.event)
    else this.handle(this.agents[message.agent], message)
  }

  private reply (event: RequestEvent): void { this.network.push({ to: 'gateway', event }) }

  private handle (agent: SimulatedAgent, message: Extract<Message, { to: 'agent' }>): void {
    const { attempt, stream, call } = message
    if (!agent.alive) {
      if (call !== 'cancel') this.reply({ kind: 'stream_ended', stream, neverSent: false, message: 'dead' })
    } else if (call === 'start') this.handleStart(agent, attempt, stream, message.from)
    else if (call === 'cancel') this.handleCancel(agent, attempt)
    else this.handleResume(agent, attempt, stream)
  }

  private handleStart (agent: SimulatedAgent, attempt: AttemptState, stream: number, from: number): void {
    // No transport duplicates a message this late.
    if (agent.discarded.has(attempt.attemptId)) return
    const reason = this.refusalOf(agent, attempt)
    if (reason !== undefined) {
      agent.barred.add(attempt.attemptId)
      this.refuse(agent, stream, reason)
      return
    }
    if (!agent.attempts.has(attempt.attemptId)) {
      this.executions.push(attempt.attemptId)
      agent.attempts.set(attempt.attemptId, { endedMs: undefined, outcome: undefined, isolated: attempt.isolated, wasAlone: attempt.isolated || attempt.soloFirstToken, from, written: 0 })
    }
    this.reply({ kind: 'accepted', stream, incarnation: agent.target.incarnation })
    this.sendOutput(agent, attempt.attemptId, stream, 0)
  }

  private refusalOf (agent: SimulatedAgent, attempt: AttemptState): RefusalReason | undefined {
    // A duplicated start finds the attempt of the first one.
    if (agent.attempts.has(attempt.attemptId)) return undefined
    if (agent.barred.has(attempt.attemptId)) return 'barred'
    if (attempt.target.incarnation !== agent.target.incarnation) return 'wrong_incarnation'
    return agent.refuse
  }

  private handleResume (agent: SimulatedAgent, attempt: AttemptState, stream: number): void {
    if (attempt.target.incarnation !== agent.target.incarnation) this.refuse(agent, stream, 'wrong_incarnation')
    else if (!agent.attempts.has(attempt.attemptId)) {
      agent.barred.add(attempt.attemptId)
      this.refuse(agent, stream, 'barred')
    } else {
      this.reply({ kind: 'accepted', stream, incarnation: agent.target.incarnation })
      this.sendOutput(agent, attempt.attemptId, stream, attempt.receivedBytes)
    }
  }

  private handleCancel (agent: SimulatedAgent, attempt: AttemptState): void {
    const known = agent.attempts.get(attempt.attemptId)
    if (known === undefined) agent.barred.add(attempt.attemptId)
    else this.finish(known, 'cancelled')
  }

  private refuse (agent: SimulatedAgent, stream: number, reason: RefusalReason): void {
    this.reply({ kind: 'refused', stream, reason, incarnation: agent.target.incarnation, retryAfterMs: 0 })
  }

  /** Sends the output of an attempt from an offset on to a stream. */
  private sendOutput (agent: SimulatedAgent, attemptId: string, stream: number, offsetBytes: number): void {
    const attempt = agent.attempts.get(attemptId)
    if (attempt === undefined) return
    const output = RESPONSE.slice(attempt.from, attempt.from + attempt.written)
    if (attempt.written > 0 || attempt.outcome === 'completed') this.reply({ kind: 'head', stream, status: 200, headers: {} })
    if (output.length > offsetBytes) this.reply({ kind: 'output', stream, offsetBytes, data: Buffer.from(output.slice(offsetBytes)) })
    if (attempt.outcome === undefined) return
    this.reply({
      kind: 'final',
      stream,
      final: { outcome: attempt.outcome, totalBytes: output.length, ran: 'ran', detail: '', retryAfterMs: 0, outputTokens: attempt.written, wasAlone: attempt.wasAlone }
    })
  }

  /** Makes the endpoint write more output of its attempts. */
  produce (agentIndex: number, bytes: number): void {
    const agent = this.agents[agentIndex % this.agents.length]
    for (const [attemptId, attempt] of agent.attempts) {
      if (attempt.outcome !== undefined) continue
      const before = attempt.written
      attempt.written = Math.min(RESPONSE.length - attempt.from, attempt.written + bytes)
      if (attempt.from + attempt.written === RESPONSE.length) this.finish(attempt, 'completed')
      const stream = this.state.attempt?.attemptId === attemptId ? this.state.attempt.stream : 0
      this.sendOutput(agent, attemptId, stream, before)
    }
  }

  private finish (attempt: SimulatedAttempt, outcome: 'completed' | 'cancelled' | 'endpoint_crashed'): void {
    if (attempt.outcome !== undefined) return
    attempt.outcome = outcome
    attempt.endedMs = this.nowMs
  }

  crash (agentIndex: number): void {
    const agent = this.agents[agentIndex % this.agents.length]
    for (const [attemptId, attempt] of agent.attempts) {
      if (attempt.outcome !== undefined) continue
      this.finish(attempt, 'endpoint_crashed')
      if (this.state.attempt?.attemptId === attemptId) this.sendOutput(agent, attemptId, this.state.attempt.stream, attempt.written)
    }
  }

  kill (agentIndex: number): void {
    const agent = this.agents[agentIndex % this.agents.length]
    agent.alive = false
    agent.attempts.clear()
    agent.barred.clear()
    const { attempt } = this.state
    if (attempt?.target.key === agent.target.key) this.reply({ kind: 'stream_ended', stream: attempt.stream, neverSent: false, message: 'reset' })
  }

  restart (agentIndex: number): void {
    const agent = this.agents[agentIndex % this.agents.length]
    if (!agent.alive) agent.target = { ...agent.target, incarnation: `${agent.target.incarnation}+` }
    agent.alive = true
  }

  /** Advances the time; agents discard attempts whose retention is over. */
  wait (durationMs: number): void {
    this.nowMs += durationMs
    for (const { attempts, discarded } of this.agents) {
      for (const [attemptId, attempt] of attempts) {
        if (attempt.endedMs === undefined || this.nowMs - attempt.endedMs < RETENTION_MS) continue
        attempts.delete(attemptId)
        discarded.add(attemptId)
      }
    }
  }
}
