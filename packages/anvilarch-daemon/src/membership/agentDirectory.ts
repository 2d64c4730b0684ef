/** Directory of the agents known to this gateway, by address and by name, with change notifications. */
import type { DaemonContext } from '../context'
import { afterDraining, afterEndpointDown, afterIncarnation, afterOrderSent, afterUnreachable, type MemberRecord, updateLoad } from './memberRecord'
import type { AgentDirectory, AgentView } from './types'

/** The directory with the operations that modify it. */
export interface MutableDirectory extends AgentDirectory {
  /** Records that an order was sent to an agent, so that its effect is queried soon. */
  noteOrderSent: (agent: string) => void
  records: () => MemberRecord[]
  record: (address: string) => MemberRecord | undefined
  put: (record: MemberRecord) => void
  remove: (address: string) => void
}

/** Timeline event for each state of an agent. */
const STATE_EVENTS: Record<AgentView['state'], string> = {
  serving: 'membership.agent_up',
  draining: 'membership.agent_draining',
  unreachable: 'membership.agent_down'
}

/**
 * @param context - clock, timeline and logger
 * @returns an empty directory
 */
export function createAgentDirectory (context: Pick<DaemonContext, 'clock' | 'timeline' | 'logger'>): MutableDirectory {
  const records = new Map<string, MemberRecord>()
  const listeners = new Set<() => void>()
  const positions = new Map<string, number>()
  const views: AgentView[] = []
  const byName = new Map<string, string>()

  const notify = (): void => {
    // Iterates over a copy: a listener may unsubscribe and subscribe again, which would iterate over the set forever.
    for (const listener of [...listeners]) listener()
  }

  /** A replaced host may be listed together with its successor of the same name; the one with the latest response is used. */
  const index = (): void => {
    byName.clear()
    positions.clear()
    views.length = 0
    for (const record of records.values()) {
      const { name, lastHeardMs } = record.view
      const other = records.get(byName.get(name) ?? '')
      if (name !== '' && (other === undefined || other.view.lastHeardMs < lastHeardMs)) byName.set(name, record.address)
    }
    for (const address of byName.values()) {
      positions.set(address, views.length)
      views.push((records.get(address) as MemberRecord).view)
    }
  }

  const replaceView = (record: MemberRecord): void => {
    const position = positions.get(record.address)
    if (position !== undefined) views[position] = record.view
  }

  const put = (record: MemberRecord): void => {
    const before = records.get(record.address)
    records.set(record.address, record)
    if (before?.view === record.view) return
    const isReindexed = before?.view.name !== record.view.name || before.view.state !== record.view.state
    if (isReindexed) index()
    else replaceView(record)
    if (before === undefined || record.view.name === '') return
    if (before.view.state !== record.view.state) reportState(record)
    notify()
  }

  const reportState = (record: MemberRecord): void => {
    const { name, address, state, incarnation } = record.view
    context.timeline.record(STATE_EVENTS[state], { detail: { agent: name, address, incarnation } })
    context.logger.info('an agent changed its state', { agent: name, address, state })
  }

  const byAgent = (name: string): MemberRecord | undefined => records.get(byName.get(name) ?? '')

  const change = (name: string, apply: (record: MemberRecord) => MemberRecord): void => {
    const found = byAgent(name)
    if (found !== undefined) put(apply(found))
  }

  return {
    list: () => views,
    get: name => byAgent(name)?.view,
    noteLoad: (agent, load) => {
      const found = byAgent(agent)
      if (found !== undefined) updateLoad(found, load, context.clock.nowMs())
    },
    noteDraining: agent => { change(agent, afterDraining) },
    noteUnreachable: agent => { change(agent, afterUnreachable) },
    noteIncarnation: (agent, incarnation) => { change(agent, record => afterIncarnation(record, incarnation, context.clock.nowMs())) },
    noteEndpointDown: (agent, endpoint) => { change(agent, record => afterEndpointDown(record, endpoint, context.clock.nowMs())) },
    noteOrderSent: agent => { change(agent, record => afterOrderSent(record, context.clock.nowMs())) },
    onChange: listener => {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    },
    records: () => [...records.values()],
    record: address => records.get(address),
    put,
    remove: address => {
      records.delete(address)
      index()
      notify()
    }
  }
}
