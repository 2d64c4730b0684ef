/** Drives the group commit state machine: sends its commits to the table and reports the outcome of each write. */
import type { CommitResult, TablePort } from 'anvilarch-protocol'
import type { Clock } from 'anvilarch-utils'
import { createGroupState, type Entry, type GroupedCommit, type GroupCommand, type GroupEvent, type GroupOptions, type EntryOutcome, stepGroup } from './groupCommit'

/** Writes rows in groups. */
export interface CommitGroup {
  /** @returns the outcome of the write */
  write: (entry: Omit<Entry, 'id'>) => Promise<EntryOutcome>
  /** Called for each commit that was given up although it may have taken effect. */
  onOrphan: (listener: (commit: GroupedCommit) => void) => void
}

/** Options of `createCommitGroup`. */
export interface CommitGroupOptions extends GroupOptions {
  clock: Clock
  table: TablePort
  /** Maximum number of waiting entries; further ones are reported as unsettled without being written. */
  maxWaiting: number
}

/**
 * @param options - table, clock and limits
 * @returns a group without pending writes
 */
export function createCommitGroup (options: CommitGroupOptions): CommitGroup {
  const { clock, table } = options
  const resolvers = new Map<number, (settled: EntryOutcome) => void>()
  const orphanListeners = new Set<(commit: GroupedCommit) => void>()
  let state = createGroupState()
  let nextId = 0

  const apply = (event: GroupEvent): void => {
    const step = stepGroup(state, event, clock.nowMs(), options)
    state = step.state
    for (const command of step.commands) execute(command)
  }

  const execute = (command: GroupCommand): void => {
    switch (command.kind) {
      case 'send':
        if (command.delayMs > 0) clock.after(command.delayMs, () => { send(command.commit) })
        else send(command.commit)
        return
      case 'wake':
        clock.after(command.delayMs, () => { apply({ kind: 'wake' }) })
        return
      case 'settle':
        resolvers.get(command.entry.id)?.(command.settled)
        resolvers.delete(command.entry.id)
        return
      case 'orphan':
        orphanListeners.forEach(listener => { listener(command.commit) })
    }
  }

  const send = ({ commitId, entries }: GroupedCommit): void => {
    let isPending = true
    const fail = (): void => {
      timer.cancel()
      if (isPending) apply({ kind: 'failed', commitId })
      isPending = false
    }
    const timer = clock.after(options.tryTimeoutMs, fail)
    const onReply = (result: CommitResult): void => {
      timer.cancel()
      isPending = false
      apply({ kind: 'replied', commitId, result })
    }
    table.commit(toCommit(commitId, entries)).then(onReply, fail)
  }

  return {
    write: async entry => await new Promise(resolve => {
      if (state.waiting.length >= options.maxWaiting) {
        resolve({ outcome: 'unsettled' })
        return
      }
      const id = nextId++
      resolvers.set(id, resolve)
      apply({ kind: 'add', entry: { ...entry, id } })
    }),
    onOrphan: listener => { orphanListeners.add(listener) }
  }
}

/**
 * @param commitId - id of the commit
 * @param entries - writes of the commit
 * @returns the transaction
 */
export function toCommit (commitId: string, entries: readonly Entry[]) {
  return {
    commitId,
    conditions: entries.map(({ key, version }) => ({ key, version })),
    writes: entries.map(({ key, value }) => ({ key, value }))
  }
}
