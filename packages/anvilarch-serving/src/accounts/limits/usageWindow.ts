/** Recently granted and refused requests by account, as counted by the gateways that keep the meters. */

/** Requests of one account in the last window. */
export interface AccountUsage {
  accountName: string
  granted: number
  refused: number
}

/** Counts over a sliding window. */
export interface UsageWindow {
  add: (accountName: string, granted: number, refused: number, nowMs: number) => void
  /** @returns accounts with any request in the window, the busiest first */
  busiest: (limit: number, nowMs: number) => AccountUsage[]
}

/** The window is divided into this many slices and slides by one slice at a time. */
const SLICE_COUNT = 10

interface Slice {
  index: number
  granted: number
  refused: number
}

/**
 * @param windowMs - length of the window
 * @returns an empty window
 */
export function createUsageWindow (windowMs: number): UsageWindow {
  const sliceMs = windowMs / SLICE_COUNT
  const slicesByAccount = new Map<string, Slice[]>()
  const withinWindow = (slices: Slice[], nowMs: number): Slice[] => slices.filter(slice => slice.index > Math.floor(nowMs / sliceMs) - SLICE_COUNT)

  return {
    add: (accountName, granted, refused, nowMs) => {
      const index = Math.floor(nowMs / sliceMs)
      const slices = withinWindow(slicesByAccount.get(accountName) ?? [], nowMs)
      const last = slices.at(-1)
      if (last?.index === index) {
        last.granted += granted
        last.refused += refused
      } else {
        slices.push({ index, granted, refused })
      }
      slicesByAccount.set(accountName, slices)
    },
    busiest: (limit, nowMs) => {
      const usages: AccountUsage[] = []
      for (const [accountName, slices] of slicesByAccount) {
        const recent = withinWindow(slices, nowMs)
        if (recent.length === 0) {
          slicesByAccount.delete(accountName)
          continue
        }
        usages.push({ accountName, granted: sum(recent.map(slice => slice.granted)), refused: sum(recent.map(slice => slice.refused)) })
      }
      return usages.sort((a, b) => b.granted + b.refused - a.granted - a.refused).slice(0, limit)
    }
  }
}

function sum (numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0)
}
