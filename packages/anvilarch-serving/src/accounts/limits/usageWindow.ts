/** What accounts were granted and refused lately, as the gateways that keep their meters have counted it. */

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

/** The window slides by one part at a time. */
const PARTS = 10

interface Part {
  index: number
  granted: number
  refused: number
}

/**
 * @param windowMs - length of the window
 * @returns counts of nothing
 */
export function createUsageWindow (windowMs: number): UsageWindow {
  const partMs = windowMs / PARTS
  const partsOf = new Map<string, Part[]>()
  const withinWindow = (parts: Part[], nowMs: number): Part[] => parts.filter(part => part.index > Math.floor(nowMs / partMs) - PARTS)

  return {
    add: (accountName, granted, refused, nowMs) => {
      const index = Math.floor(nowMs / partMs)
      const parts = withinWindow(partsOf.get(accountName) ?? [], nowMs)
      const last = parts.at(-1)
      if (last?.index === index) {
        last.granted += granted
        last.refused += refused
      } else {
        parts.push({ index, granted, refused })
      }
      partsOf.set(accountName, parts)
    },
    busiest: (limit, nowMs) => {
      const uses: AccountUsage[] = []
      for (const [accountName, parts] of partsOf) {
        const recent = withinWindow(parts, nowMs)
        if (recent.length === 0) {
          partsOf.delete(accountName)
          continue
        }
        uses.push({ accountName, granted: sum(recent.map(part => part.granted)), refused: sum(recent.map(part => part.refused)) })
      }
      return uses.sort((a, b) => b.granted + b.refused - a.granted - a.refused).slice(0, limit)
    }
  }
}

function sum (numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0)
}
