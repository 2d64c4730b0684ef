import fc from 'fast-check'
import { createItemSet, hasItem, itemSetFromText, itemSetToText } from '../itemSet'
import { claimedPart, type CurrentRows, type PartCommand, type PartEvent, type PartState, stepPart } from '../partCore'
import { isPartDone, type PartRow } from '../rows'
import { checkPart } from '../segments'

const ITEMS = 12
const HOLDERS = 3
const RUNS = 3_000
const SEED = 4_711

type Sent = Extract<PartCommand, { type: 'commit' }>
type Reply = { sent: Sent, version: number | undefined }

/** A holder with its messages in transit to and from the table. */
interface Holder {
  name: string
  state: PartState | undefined
  sent: Sent[]
  replies: Reply[]
  mustReread: boolean
}

/** Model of a table with one part and its job, of the holders that send commits to it, and of the objects by name. */
class TableModel {
  row: PartRow | undefined
  version = 0
  jobVersion = 1
  jobActive = true
  commitIds = 0
  readonly outcomes = new Map<string, number | undefined>()
  readonly objects = new Map<string, number[]>()
  readonly holders: Holder[] = Array.from({ length: HOLDERS }, (_value, number) => ({ name: `h${number}`, state: undefined, sent: [], replies: [], mustReread: false }))

  nextId (): string { return `c${this.commitIds++}` }

  rows (): CurrentRows {
    return { part: this.row === undefined ? null : { version: this.version, row: this.row }, job: { version: this.jobVersion, active: this.jobActive } }
  }

  claim (holder: Holder): void {
    if (!this.jobActive || (this.row !== undefined && isPartDone(this.row))) return
    const empty = { items: ITEMS, done: itemSetToText(createItemSet(ITEMS)), completed: 0, failed: 0, segments: [] }
    this.row = { ...empty, ...this.row, epoch: (this.row?.epoch ?? 0) + 1, holder: holder.name }
    this.version += 1
    holder.state = claimedPart(holder.name, this.row, this.version, this.jobVersion)
    holder.sent = []
  }

  dispatch (holder: Holder, event: PartEvent): void {
    if (holder.state === undefined) return
    const step = stepPart(holder.state, event)
    holder.state = step.state
    for (const command of step.commands) this.execute(holder, command)
  }

  execute (holder: Holder, command: PartCommand): void {
    if (command.type === 'reread') holder.mustReread = true
    if (command.type === 'commit') holder.sent.push(command)
    if (command.type !== 'write_objects') return
    for (const ref of command.pending.segments) {
      const name = `${ref.epoch}-${ref.segment}-${ref.kind}`
      const items = command.pending.items.filter(item => item.kind === ref.kind).map(item => item.index)
      if (`${this.objects.get(name) ?? items}` !== `${items}`) throw new Error(`object ${name} has two contents`)
      this.objects.set(name, items)
    }
    this.dispatch(holder, { type: 'objects_written' })
  }

  /** Delivers a commit to the table, in any order: the commit of a paused holder may arrive after those of others. */
  deliver (holder: Holder, position: number): void {
    const sent = holder.sent[position % Math.max(1, holder.sent.length)]
    if (sent === undefined) return
    const { commitId, kind, row } = sent.pending
    if (!this.outcomes.has(commitId)) {
      const areConditionsMet = sent.partVersion === this.version && (kind === 'release' || sent.jobVersion === this.jobVersion)
      if (areConditionsMet) this.take(kind, row)
      this.outcomes.set(commitId, areConditionsMet ? this.version : undefined)
    }
    holder.replies.push({ sent, version: this.outcomes.get(commitId) })
  }

  take (kind: string, row: PartRow): void {
    if (kind === 'segment' && !this.jobActive) throw new Error('committed to a job that has ended')
    if (row.epoch !== this.row?.epoch) throw new Error('committed under an old epoch')
    const before = itemSetFromText(this.row.done)
    const after = itemSetFromText(row.done)
    if (before.some((bits, position) => (bits & ~after[position]) !== 0)) throw new Error('a committed item was lost')
    checkPart(row)
    this.row = row
    this.version += 1
  }

  reply (holder: Holder): void {
    const reply = holder.replies.shift()
    if (reply === undefined) return
    const sentId = reply.sent.pending.commitId
    if (reply.version !== undefined) this.dispatch(holder, { type: 'committed', sentId, version: reply.version })
    else this.dispatch(holder, { type: 'conflict', sentId, rows: this.rows(), commitId: this.nextId() })
  }

  flush (holder: Holder, count: number): void {
    if (holder.state === undefined || holder.state.pending !== undefined) return
    const done = itemSetFromText(holder.state.row.done)
    const open = Array.from({ length: ITEMS }, (_value, index) => index).filter(index => !hasItem(done, index)).slice(0, count)
    const items = open.map(index => ({ index, kind: index % 3 === 0 ? 'error' as const : 'output' as const, sizeBytes: 10 }))
    this.dispatch(holder, { type: 'flush', items, commitId: this.nextId() })
  }

  reread (holder: Holder): void {
    if (!holder.mustReread) return
    holder.mustReread = false
    this.dispatch(holder, { type: 'reread', rows: this.rows(), commitId: this.nextId() })
  }

  committedItems (): number[] {
    return (this.row?.segments ?? []).flatMap(ref => this.objects.get(`${ref.epoch}-${ref.segment}-${ref.kind}`) ?? [])
  }
}

const ACTIONS: Record<string, (model: TableModel, holder: Holder, count: number) => void> = {
  claim: (model, holder) => { model.claim(holder) },
  flush: (model, holder, count) => { model.flush(holder, count) },
  deliver: (model, holder, count) => { model.deliver(holder, count) },
  reply: (model, holder) => { model.reply(holder) },
  loseReply: (_world, holder) => { holder.replies.pop() },
  lapse: (model, holder) => { model.dispatch(holder, { type: 'lapsed' }) },
  reread: (model, holder) => { model.reread(holder) },
  release: (model, holder) => { model.dispatch(holder, { type: 'release', commitId: model.nextId() }) },
  jobRowChanges: model => { model.jobVersion += 1 },
  endJob: (model, _holder, count) => {
    if (count > 1) return
    model.jobVersion += 1
    model.jobActive = false
  }
}

const action = fc.record({
  name: fc.constantFrom(...Object.keys(ACTIONS), 'flush', 'deliver', 'deliver', 'reply', 'reply'),
  holder: fc.nat({ max: HOLDERS - 1 }),
  count: fc.integer({ min: 1, max: 6 })
})

describe('stepPart', () => {
  it('commits each item at most once, only for the current holder, and nothing to a job that has ended', () => {
    fc.assert(fc.property(fc.array(action, { maxLength: 80, size: 'max' }), actions => {
      const model = new TableModel()
      model.claim(model.holders[0])
      for (const { name, holder, count } of actions) ACTIONS[name](model, model.holders[holder], count)
      const items = model.committedItems()
      expect(new Set(items).size).toBe(items.length)
      expect(items.length).toBe((model.row?.completed ?? 0) + (model.row?.failed ?? 0))
    }), { seed: SEED, numRuns: RUNS })
  })

  it('finishes every part that one holder runs to its end without interference', () => {
    fc.assert(fc.property(fc.array(action, { maxLength: 40, size: 'max' }), actions => {
      const model = new TableModel()
      for (const { name, holder, count } of actions) if (name !== 'endJob') ACTIONS[name](model, model.holders[holder], count)
      const last = model.holders[0]
      last.replies = []
      if (model.row === undefined || !isPartDone(model.row)) model.claim(last)
      for (let round = 0; round < ITEMS && !isPartDone(model.row as PartRow); round++) {
        model.flush(last, 3)
        model.deliver(last, last.sent.length - 1)
        while (last.replies.length > 0) model.reply(last)
      }
      expect(model.committedItems().sort((left, right) => left - right)).toEqual(Array.from({ length: ITEMS }, (_value, index) => index))
    }), { seed: SEED, numRuns: RUNS })
  })

  // Guards against an item with two results: its commit is sent again as new content after the lease has lapsed.
  it('resends a pending commit with the same content after a lapse of the lease', () => {
    const model = new TableModel()
    const [holder] = model.holders
    model.claim(holder)
    model.flush(holder, 4)
    const first = holder.sent[0]
    model.dispatch(holder, { type: 'lapsed' })
    model.reread(holder)
    expect(holder.sent[1].pending).toBe(first.pending)
    model.deliver(holder, 0)
    model.deliver(holder, 1)
    model.reply(holder)
    model.reply(holder)
    expect(holder.state?.row.segments.length).toBe(model.row?.segments.length)
    expect(model.committedItems().length).toBe(4)
  })

  // Guards against a part that is reported as finished before its last items are committed.
  it('does not treat a second reply to one commit as the reply to the next', () => {
    const model = new TableModel()
    const [holder] = model.holders
    model.claim(holder)
    model.flush(holder, 6)
    model.deliver(holder, 0)
    model.deliver(holder, 0)
    model.reply(holder)
    model.flush(holder, 6)
    model.reply(holder)
    expect(holder.state?.end).toBeUndefined()
    model.deliver(holder, 1)
    model.reply(holder)
    expect(holder.state?.end).toBe('finished')
    expect(model.committedItems().length).toBe(ITEMS)
  })

  it('ends the part permanently when the job has ended', () => {
    const model = new TableModel()
    const [holder] = model.holders
    model.claim(holder)
    model.dispatch(holder, { type: 'job_ended' })
    model.flush(holder, 4)
    expect(holder.state?.end).toBe('job_ended')
    expect(holder.sent).toEqual([])
  })
})
