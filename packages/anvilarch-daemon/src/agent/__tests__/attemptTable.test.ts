import fc from 'fast-check'
import { assertCondition } from '../__fixtures__/assertCondition'
import { attemptTableStep, type AttemptTableCommand, type AttemptTableEvent, type AttemptTableState, createAttemptTable } from '../attemptTable'

const OPTIONS = { incarnation: 'now', attemptRetentionMs: 1000, barRetentionMs: 10_000, readerGraceMs: 500, maxTombstones: 1000, maxRetainedBytes: 250 }
const LIFETIME_MS = 3000
const IDS = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h']

function send (state: AttemptTableState, event: AttemptTableEvent): AttemptTableCommand[] {
  return attemptTableStep(state, event).commands
}

/** Events of one id in a history, as observed by peers. */
interface IdRecord {
  startedMs: number
  deadlineMs: number
  /** Deadline of the attempt that ran. */
  lastDeadlineMs: number
  /** When a peer received the response that the id never runs here. */
  reportedNotRunMs: number
}

type Action =
  | { kind: 'deliver' | 'duplicate' | 'resume' | 'cancel' | 'start' | 'end' | 'open' | 'close', id: string, accepts: boolean, isStale: boolean }
  | { kind: 'wait', ms: number }
  | { kind: 'restart' }

const ID = fc.constantFrom(...IDS)
const ACTIONS: fc.Arbitrary<Action[]> = fc.array(fc.oneof(
  { weight: 12, arbitrary: fc.record({ kind: fc.constantFrom('deliver', 'duplicate', 'resume', 'cancel', 'start', 'end', 'open', 'close'), id: ID, accepts: fc.boolean(), isStale: fc.boolean() }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('wait'), ms: fc.constantFrom(1, 100, 600, 2000, 9000) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restart') }) }
) as fc.Arbitrary<Action>, { maxLength: 60, size: 'max' })

/** Executes a history like the agent, and checks the guarantees for peers after each step. */
class History {
  nowMs = 0
  generation = 0
  table = createAttemptTable(OPTIONS)
  readers = new Map<string, number>()
  records = new Map<string, IdRecord>()

  run (actions: Action[]): void {
    for (const action of actions) this.apply(action)
  }

  private apply (action: Action): void {
    if (action.kind === 'wait') {
      this.nowMs += action.ms
      this.execute(send(this.table, { kind: 'tick', nowMs: this.nowMs }))
    } else if (action.kind === 'restart') {
      this.generation++
      this.table = createAttemptTable({ ...OPTIONS, incarnation: this.incarnation() })
      this.readers.clear()
      this.records.clear()
    } else {
      this.applyToId(action)
    }
    this.check()
  }

  private incarnation (): string {
    return `generation ${this.generation}`
  }

  private applyToId (action: Exclude<Action, { kind: 'wait' | 'restart' }>): void {
    const { id } = action
    const incarnation = action.isStale ? 'an older one' : this.table.options.incarnation
    const entry = this.table.entries.get(id)
    const base = { nowMs: this.nowMs, id }
    switch (action.kind) {
      case 'deliver':
      case 'duplicate': {
        this.handleResponse(send(this.table, { ...base, kind: 'deliver', incarnation }), action)
        break
      }
      case 'resume': {
        this.handleResponse(send(this.table, { ...base, kind: 'resume', incarnation }), action)
        break
      }
      case 'cancel': {
        const commands = send(this.table, { ...base, kind: 'cancel' })
        this.execute(commands)
        if (commands.some(command => command.kind === 'cancelResponse' && command.outcome === 'barred')) this.recordNotRun(id)
        break
      }
      case 'start': {
        if (entry?.state !== 'queued') break
        send(this.table, { ...base, kind: 'started' })
        this.recordStarted(id)
        break
      }
      case 'end': {
        if (entry?.state === 'queued' || entry?.state === 'running') this.end(id)
        break
      }
      case 'open': {
        if (entry === undefined || entry.state === 'barred' || entry.state === 'discarded') break
        send(this.table, { ...base, kind: 'readerOpened' })
        this.readers.set(id, (this.readers.get(id) ?? 0) + 1)
        break
      }
      case 'close': {
        const open = this.readers.get(id) ?? 0
        if (open === 0) break
        send(this.table, { ...base, kind: 'readerClosed', delivered: action.accepts })
        if (open === 1) this.readers.delete(id)
        else this.readers.set(id, open - 1)
        break
      }
    }
  }

  private handleResponse (commands: AttemptTableCommand[], { accepts, isStale }: { accepts: boolean, isStale: boolean }): void {
    this.execute(commands)
    const isRefused = commands.length === 1 && commands[0].kind === 'refuse' && commands[0].reason === 'wrong_incarnation'
    assertCondition(isRefused === isStale, 'a message for another incarnation was accepted, or one for this incarnation refused')
    for (const command of commands) {
      if (command.kind === 'refuse' && command.reason === 'barred') this.recordNotRun(command.id)
      if (command.kind !== 'decideAdmission') continue
      const base = { nowMs: this.nowMs, id: command.id }
      if (accepts) {
        send(this.table, { ...base, kind: 'accepted', deadlineMs: this.nowMs + LIFETIME_MS, stopsUnread: true })
        this.recordOf(command.id).deadlineMs = this.nowMs + LIFETIME_MS
      } else {
        send(this.table, { ...base, kind: 'refused' })
        this.recordNotRun(command.id)
      }
    }
  }

  private execute (commands: AttemptTableCommand[]): void {
    for (const command of commands) {
      if (command.kind === 'stop') this.end(command.id)
      if (command.kind === 'discardOutput') assertCondition(this.table.entries.get(command.id)?.state === 'discarded', `output of "${command.id}" was discarded, but its state is not "discarded"`)
    }
  }

  private end (id: string): void {
    this.execute(send(this.table, { kind: 'ended', nowMs: this.nowMs, id, outcome: 'completed', totalBytes: 100 }))
  }

  private recordNotRun (id: string): void {
    const record = this.recordOf(id)
    assertCondition(!this.isRecent(record.startedMs, record.lastDeadlineMs), `"${id}" was reported as not run, but it ran`)
    record.reportedNotRunMs = this.nowMs
  }

  private recordStarted (id: string): void {
    const seen = this.recordOf(id)
    assertCondition(!this.isRecent(seen.startedMs, seen.lastDeadlineMs), `"${id}" ran twice`)
    assertCondition(!this.isRecent(seen.reportedNotRunMs, seen.reportedNotRunMs), `"${id}" ran after it was reported as not run`)
    seen.startedMs = this.nowMs
    seen.lastDeadlineMs = seen.deadlineMs
  }

  private isRecent (whenMs: number, deadlineMs: number): boolean {
    return whenMs >= 0 && this.nowMs < deadlineMs + OPTIONS.barRetentionMs
  }

  private recordOf (id: string): IdRecord {
    let record = this.records.get(id)
    if (record === undefined) {
      record = { startedMs: -1, deadlineMs: 0, lastDeadlineMs: 0, reportedNotRunMs: -1 }
      this.records.set(id, record)
    }
    return record
  }

  private check (): void {
    const all = [...this.table.entries.values()]
    const kept = all.filter(entry => entry.state === 'ended').map(entry => entry.totalBytes)
    assertCondition(this.table.retainedBytes <= OPTIONS.maxRetainedBytes + 100 * (1 + this.readers.size), 'retained output exceeds its limit')
    assertCondition(this.table.retainedBytes === kept.reduce((sum, bytes) => sum + bytes, 0), 'the count of retained bytes is wrong')
    assertCondition(this.table.tombstones === all.filter(entry => entry.state === 'barred' || entry.state === 'discarded').length, 'the count of tombstones is wrong')
    assertCondition(this.table.liveCount === all.filter(entry => entry.state === 'queued' || entry.state === 'running').length, 'the count of live attempts is wrong')
  }
}

describe('attemptTableStep', () => {
  it('runs an id at most once, and never after it was reported as not run, with duplicated, late or reordered messages', () => {
    fc.assert(fc.property(ACTIONS, actions => { new History().run(actions) }), { seed: 20261202, numRuns: 3000 })
  })

  // Guards against an attempt that runs after its caller received `not_run`.
  it('bars an id that is resumed or cancelled before its start arrives', () => {
    const table = createAttemptTable(OPTIONS)
    expect(send(table, { kind: 'resume', nowMs: 0, id: 'a', incarnation: 'now' })).toEqual([{ kind: 'refuse', id: 'a', reason: 'barred' }])
    expect(send(table, { kind: 'cancel', nowMs: 0, id: 'b' })).toEqual([{ kind: 'cancelResponse', id: 'b', outcome: 'barred' }])
    for (const id of ['a', 'b']) {
      expect(send(table, { kind: 'deliver', nowMs: 5000, id, incarnation: 'now' })).toEqual([{ kind: 'refuse', id, reason: 'barred' }])
    }
  })

  // Guards against reporting `not_run` for an attempt that has run.
  it('reports an attempt whose output was discarded as lost, not as not run', () => {
    const table = createAttemptTable(OPTIONS)
    const base = { nowMs: 0, id: 'a' }
    send(table, { ...base, kind: 'deliver', incarnation: 'now' })
    send(table, { ...base, kind: 'accepted', deadlineMs: LIFETIME_MS, stopsUnread: true })
    send(table, { ...base, kind: 'started' })
    send(table, { ...base, kind: 'ended', outcome: 'completed', totalBytes: 10 })
    expect(send(table, { kind: 'tick', nowMs: 1001 })).toEqual([{ kind: 'discardOutput', id: 'a' }])
    send(table, { kind: 'tick', nowMs: LIFETIME_MS + OPTIONS.barRetentionMs - 1 })
    expect(send(table, { kind: 'resume', nowMs: LIFETIME_MS + OPTIONS.barRetentionMs - 1, id: 'a', incarnation: 'now' })).toEqual([{ kind: 'outputDiscarded', id: 'a' }])
  })

  it('does not report ids as barred at the limit of tombstones', () => {
    const table = createAttemptTable({ ...OPTIONS, maxTombstones: 1 })
    send(table, { kind: 'cancel', nowMs: 0, id: 'a' })
    expect(send(table, { kind: 'resume', nowMs: 0, id: 'b', incarnation: 'now' })).toEqual([{ kind: 'refuse', id: 'b', reason: 'wrong_incarnation' }])
    expect(send(table, { kind: 'cancel', nowMs: 0, id: 'b' })).toEqual([{ kind: 'cancelResponse', id: 'b', outcome: 'unknown' }])
    expect(send(table, { kind: 'deliver', nowMs: 0, id: 'b', incarnation: 'now' })).toEqual([{ kind: 'refuse', id: 'b', reason: 'wrong_incarnation' }])
  })

  it('stops an attempt without a reader after the grace period, unless it is not idempotent', () => {
    const table = createAttemptTable(OPTIONS)
    for (const [id, stopsUnread] of [['a', true], ['b', false]] as const) {
      send(table, { kind: 'deliver', nowMs: 0, id, incarnation: 'now' })
      send(table, { kind: 'accepted', nowMs: 0, id, deadlineMs: 60_000, stopsUnread })
    }
    expect(send(table, { kind: 'tick', nowMs: 499 })).toEqual([])
    expect(send(table, { kind: 'tick', nowMs: 700 })).toEqual([{ kind: 'stop', id: 'a', reason: 'unread' }])
  })
})
