import fc from 'fast-check'
import { assertCondition } from '../../agent/__fixtures__/assertCondition'
import type { WorkClass } from 'anvilarch-protocol'
import { type AdmissionCommand, admissionLoad, admissionStep, type AdmissionEvent, createAdmissionState } from '..'

type Action =
  | { kind: 'arrive', workClass: WorkClass, isolated: boolean, soloFirstToken: boolean, lifetimeMs: number }
  | { kind: 'finish' | 'release' | 'cancel' | 'token', pick: number }
  | { kind: 'tick', ms: number }
  | { kind: 'down' | 'up' | 'drain' | 'returnBatch' }

const ACTIONS: fc.Arbitrary<Action[]> = fc.array(fc.oneof(
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('arrive'), workClass: fc.constantFrom('lookup', 'online', 'batch', 'batch'), isolated: fc.integer({ min: 0, max: 9 }).map(n => n === 0), soloFirstToken: fc.integer({ min: 0, max: 4 }).map(n => n === 0), lifetimeMs: fc.constantFrom(50, 1000, 60_000) }) },
  { weight: 10, arbitrary: fc.record({ kind: fc.constantFrom('finish', 'release', 'cancel', 'token'), pick: fc.nat(20) }) },
  { weight: 5, arbitrary: fc.record({ kind: fc.constant('tick'), ms: fc.constantFrom(10, 100, 300) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom('down', 'up', 'up', 'returnBatch', 'drain') }) }
) as fc.Arbitrary<Action>, { maxLength: 120, size: 'max' })

type Phase = 'waiting' | 'running' | 'preempting' | 'parked' | 'over'

const OPTIONS = { slots: 4, maxQueuedOnline: 5, maxQueuedBatch: 4, maxPreemptions: 2 }

/** Simulates the agent and checks each admission command against the recorded phase of the attempt. */
class AgentSimulation {
  nowMs = 0
  nextId = 0
  draining = false
  down = false
  state = createAdmissionState(OPTIONS)
  phases = new Map<string, Phase>()
  isolated = new Set<string>()
  protectedIds = new Set<string>()

  run (actions: Action[]): void {
    for (const action of actions) this.apply(action)
    this.runToEnd()
  }

  private apply (action: Action): void {
    switch (action.kind) {
      case 'arrive': {
        const id = String(this.nextId++)
        if (action.isolated) this.isolated.add(id)
        this.send({ kind: 'arrive', nowMs: this.nowMs, id, workClass: action.workClass, deadlineMs: this.nowMs + action.lifetimeMs, isolated: action.isolated, soloFirstToken: action.soloFirstToken })
        break
      }
      case 'finish': {
        this.withPicked(action.pick, ['running', 'preempting'], id => {
          this.phases.set(id, 'over')
          this.send({ kind: 'finished', nowMs: this.nowMs, id, isComplete: action.pick % 2 === 0 })
        })
        break
      }
      case 'release': {
        this.withPicked(action.pick, ['preempting'], id => {
          this.phases.set(id, 'parked')
          this.send({ kind: 'released', nowMs: this.nowMs, id })
        })
        break
      }
      case 'cancel': {
        this.withPicked(action.pick, ['waiting', 'parked'], id => {
          this.phases.set(id, 'over')
          this.send({ kind: 'cancelled', nowMs: this.nowMs, id })
        })
        break
      }
      case 'token': {
        this.withPicked(action.pick, ['running'], id => {
          this.send({ kind: 'decoding', nowMs: this.nowMs, id })
          this.send({ kind: 'firstToken', nowMs: this.nowMs, id, sinceStartMs: action.pick * 200 })
          this.send({ kind: 'interToken', nowMs: this.nowMs, id, gapMs: action.pick * 4 })
        })
        break
      }
      case 'tick': {
        this.nowMs += action.ms
        this.send({ kind: 'tick', nowMs: this.nowMs })
        break
      }
      case 'down': {
        this.down = true
        this.send({ kind: 'endpointDown', nowMs: this.nowMs })
        break
      }
      case 'up': {
        this.down = false
        this.send({ kind: 'endpointUp', nowMs: this.nowMs })
        break
      }
      case 'drain': {
        this.draining = true
        this.send({ kind: 'drain', nowMs: this.nowMs })
        break
      }
      case 'returnBatch': {
        if (!this.draining) break
        this.send({ kind: 'returnBatch', nowMs: this.nowMs })
        break
      }
    }
  }

  private send (event: AdmissionEvent): void {
    const { commands } = admissionStep(this.state, event)
    if (event.kind === 'arrive' && !commands.some(command => command.kind === 'refuse')) this.phases.set(event.id, 'waiting')
    for (const command of commands) this.applyCommand(command, event)
    this.check()
  }

  private applyCommand (command: AdmissionCommand, event: AdmissionEvent): void {
    const phase = this.phases.get(command.id)
    switch (command.kind) {
      case 'refuse': {
        assertCondition(event.kind === 'arrive' && event.id === command.id && phase === undefined, `"${command.id}" was rejected on ${event.kind}`)
        break
      }
      case 'start':
      case 'resume': {
        assertCondition(phase === (command.kind === 'start' ? 'waiting' : 'parked'), `${command.kind} of "${command.id}", which is ${phase ?? 'unknown'}`)
        assertCondition(!this.draining && !this.down, `"${command.id}" was started in a drain or on an endpoint that is down`)
        this.phases.set(command.id, 'running')
        const runningIds = this.occupyingIds()
        if (this.state.running.get(command.id)?.isProtected === true) this.protectedIds.add(command.id)
        assertCondition(this.protectedIds.size === 0 || this.idsIn(['running', 'preempting']).filter(id => this.protectedIds.has(id)).length <= 1, 'more items are protected than the limit allows')
        assertCondition(runningIds.length === 1 || !runningIds.some(id => this.isolated.has(id)), `"${command.id}" runs beside an isolated attempt`)
        assertCondition(runningIds.length <= OPTIONS.slots, `${runningIds.length} attempts occupy a slot`)
        break
      }
      case 'preempt': {
        assertCondition(!this.protectedIds.has(command.id), `"${command.id}" is preempted, but protected`)
        assertCondition(phase === 'running', `"${command.id}" is preempted, but ${phase ?? 'unknown'}`)
        this.phases.set(command.id, 'preempting')
        break
      }
      case 'giveUp': {
        assertCondition(phase === (command.started ? 'parked' : 'waiting'), `"${command.id}" is given up, but ${phase ?? 'unknown'}`)
        this.phases.set(command.id, 'over')
        break
      }
    }
  }

  private occupyingIds (): string[] {
    return this.idsIn(['running', 'preempting'])
  }

  private idsIn (phases: Phase[]): string[] {
    return [...this.phases].filter(([, phase]) => phases.includes(phase)).map(([id]) => id)
  }

  private withPicked (pick: number, phases: Phase[], act: (id: string) => void): void {
    const ids = this.idsIn(phases)
    if (ids.length > 0) act(ids[pick % ids.length])
  }

  private check (): void {
    const load = admissionLoad(this.state)
    assertCondition(load.runningOnline + load.runningBatch === this.occupyingIds().length, 'the load report does not match the running attempts')
    assertCondition(load.queued === this.idsIn(['waiting', 'parked']).length, 'the load report does not match the waiting attempts')
    assertCondition(this.state.batchLimit.limit <= OPTIONS.slots, 'the batch limit is above the slots')
  }

  /** Frees slots and advances the time until every admitted attempt has ended. */
  private runToEnd (): void {
    for (let round = 0; round < 400 && this.idsIn(['waiting', 'parked', 'running', 'preempting']).length > 0; round++) {
      if (this.down && !this.draining) this.apply({ kind: 'up' })
      this.apply({ kind: 'release', pick: round })
      this.apply({ kind: 'finish', pick: round })
      this.apply({ kind: 'tick', ms: 100 })
    }
    assertCondition(this.idsIn(['waiting', 'parked', 'running', 'preempting']).length === 0, 'an admitted attempt never ended')
  }
}

describe('admissionStep over random event sequences', () => {
  it('respects slots, isolation, drain and queue limits, and ends every admitted attempt', () => {
    fc.assert(fc.property(ACTIONS, actions => { new AgentSimulation().run(actions) }), { seed: 20261202, numRuns: 1500 })
  })
})
