/** Plans when callers return that this gateway refuses because the endpoints of a service are full. */
import { type Bucket, type Clock, decayed, noTurns, planTurns, type Turns } from 'anvilarch-utils'

/** Turns by service. */
export interface ServiceTurns {
  /** Counts a request that is sent to the endpoints. */
  onAccepted: (service: string) => void
  /** @returns the time until the turn of a refused caller */
  onRefused: (service: string, room: ServiceRoom) => number
}

/** Room at the endpoints of a service. */
export interface ServiceRoom {
  /** Requests that the endpoints complete in a second while all slots are in use. */
  capacityPerSecond: number
  /** Time until there is room for the request if no other comes. */
  roomInMs: number
  /** Longest time after which the caller returns. */
  longestReturnMs: number
}

interface ServiceEntry {
  turns: Turns
  /** Requests that were accepted since the last refusal, as a count that decays. */
  accepted: Bucket
}

/**
 * @param clock - local clock
 * @param gatewayCount - number of gateways that send to the same endpoints; each of them gives turns in an equal part of the room
 * @returns turns of no service
 */
export function createServiceTurns (clock: Pick<Clock, 'nowMs'>, gatewayCount: () => number): ServiceTurns {
  const services = new Map<string, ServiceEntry>()
  const entryOf = (service: string, nowMs: number): ServiceEntry => services.get(service) ?? { turns: noTurns(nowMs), accepted: { tokens: 0, updatedMs: nowMs } }

  return {
    onAccepted: service => {
      const nowMs = clock.nowMs()
      const { turns, accepted } = entryOf(service, nowMs)
      services.set(service, { turns, accepted: { tokens: decayed(accepted, nowMs) + 1, updatedMs: nowMs } })
    },
    onRefused: (service, { capacityPerSecond, roomInMs, longestReturnMs }) => {
      const nowMs = clock.nowMs()
      const entry = entryOf(service, nowMs)
      const limits = { perSecond: capacityPerSecond / gatewayCount(), longestReturnMs: Math.max(0, longestReturnMs - roomInMs) }
      const demand = { arrived: decayed(entry.accepted, nowMs) + 1, refusedBefore: 0, refused: 1, ahead: 1 }
      const { turns, firstTurnMs } = planTurns(entry.turns, demand, limits, nowMs)
      services.set(service, { turns, accepted: { tokens: 0, updatedMs: nowMs } })
      return roomInMs + firstTurnMs
    }
  }
}
