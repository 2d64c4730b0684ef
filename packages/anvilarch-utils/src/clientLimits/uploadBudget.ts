/** Limits the bytes of all request bodies in a process, and decides which unfinished body gives way when there is no room. Free of I/O. */
import type { Clock } from '../clock'

/** A body that is being received or used. */
export interface Upload {
  /** @returns whether more bytes may be kept; if not, the body is to be discarded */
  tryAdd: (bytes: number) => boolean
  /** Marks the body as whole: it no longer gives way to others. */
  complete: () => void
  /** Ends the use of the body. May be called repeatedly. */
  release: () => void
}

/** Bytes of all bodies of a process. */
export interface UploadBudget {
  /**
   * @param onEvicted - called when the unfinished body gives way to others; its bytes no longer count
   * @returns a body without bytes
   */
  open: (onEvicted: () => void) => Upload
  takenBytes: () => number
  /** @returns expected time until there is room for this many bytes, by what has been released lately */
  roomInMs: (bytes: number) => number
}

/** An unfinished body, as far as the choice depends on it. */
export interface UploadProgress {
  heldBytes: number
  /** Bytes that came within the last one to two windows. */
  recentBytes: number
}

/** Options of `createUploadBudget`. */
export interface UploadBudgetOptions {
  clock: Clock
  limitBytes: number
  /** Weight by which unfinished bodies give way; `uploadWeight` by default. */
  weightOf?: (progress: UploadProgress) => number
}

/** Bodies up to this size are small. They have a part of the budget that no larger one uses. */
export const SMALL_BODY_BYTES = 64 * 1024

const SMALL_BODIES_SHARE = 1 / 8

/** Time over which progress and released bytes are counted. */
const WINDOW_MS = 1000

/** Expected time until there is room while nothing has been released lately. */
const UNKNOWN_ROOM_MS = 1000

const MIN_ROOM_MS = 50

/**
 * Occupancy of a body: its bytes, times how long they take to come at the present pace. A large body that has stopped weighs most; a small
 * one weighs little, however slowly it comes.
 *
 * @param progress - an unfinished body
 * @returns its weight
 */
export function uploadWeight ({ heldBytes, recentBytes }: UploadProgress): number {
  return heldBytes * (heldBytes / Math.max(1, recentBytes))
}

interface WindowCount {
  startedAtMs: number
  current: number
  previous: number
}

function advance (count: WindowCount, nowMs: number): void {
  const elapsedMs = nowMs - count.startedAtMs
  if (elapsedMs < WINDOW_MS) return
  count.previous = elapsedMs < 2 * WINDOW_MS ? count.current : 0
  count.current = 0
  count.startedAtMs = nowMs
}

interface OpenUpload {
  heldBytes: number
  received: WindowCount
  evict: () => void
}

/** @returns a budget of which nothing is taken */
export function createUploadBudget ({ clock, limitBytes, weightOf = uploadWeight }: UploadBudgetOptions): UploadBudget {
  const unfinished = new Set<OpenUpload>()
  const released: WindowCount = { startedAtMs: clock.nowMs(), current: 0, previous: 0 }
  let takenBytes = 0

  const weigh = (upload: OpenUpload, nowMs: number, addedBytes = 0): number => {
    advance(upload.received, nowMs)
    const { current, previous } = upload.received
    return weightOf({ heldBytes: upload.heldBytes + addedBytes, recentBytes: current + previous + addedBytes })
  }

  const free = (bytes: number): void => {
    takenBytes -= bytes
    advance(released, clock.nowMs())
    released.current += bytes
  }

  /** @returns the unfinished body of the greatest weight; undefined if it is the one that needs the room */
  const chooseVictim = (upload: OpenUpload, addedBytes: number): OpenUpload | undefined => {
    const nowMs = clock.nowMs()
    let victim: OpenUpload | undefined
    let greatest = weigh(upload, nowMs, addedBytes)
    for (const other of unfinished) {
      const weight = other === upload ? 0 : weigh(other, nowMs)
      if (weight <= greatest) continue
      victim = other
      greatest = weight
    }
    return victim
  }

  const limitFor = (heldBytes: number): number => heldBytes > SMALL_BODY_BYTES ? limitBytes * (1 - SMALL_BODIES_SHARE) : limitBytes

  /** A body that is alone has room, so that a single request is served whatever the host has. */
  const hasRoom = (upload: OpenUpload, addedBytes: number): boolean =>
    takenBytes === upload.heldBytes || takenBytes + addedBytes <= limitFor(upload.heldBytes + addedBytes)

  const makeRoom = (upload: OpenUpload, addedBytes: number): boolean => {
    while (!hasRoom(upload, addedBytes)) {
      const victim = chooseVictim(upload, addedBytes)
      if (victim === undefined) return false
      victim.evict()
    }
    return true
  }

  return {
    open: onEvicted => {
      const upload: OpenUpload = {
        heldBytes: 0,
        received: { startedAtMs: clock.nowMs(), current: 0, previous: 0 },
        evict: () => {
          release()
          onEvicted()
        }
      }
      const release = (): void => {
        unfinished.delete(upload)
        free(upload.heldBytes)
        upload.heldBytes = 0
      }
      unfinished.add(upload)
      return {
        tryAdd: bytes => {
          if (!makeRoom(upload, bytes)) return false
          upload.heldBytes += bytes
          advance(upload.received, clock.nowMs())
          upload.received.current += bytes
          takenBytes += bytes
          return true
        },
        complete: () => { unfinished.delete(upload) },
        release
      }
    },
    takenBytes: () => takenBytes,
    roomInMs: bytes => {
      advance(released, clock.nowMs())
      const perMs = (released.current + released.previous) / (2 * WINDOW_MS)
      const missingBytes = takenBytes + bytes - limitBytes
      if (missingBytes <= 0) return MIN_ROOM_MS
      return perMs === 0 ? UNKNOWN_ROOM_MS : Math.max(MIN_ROOM_MS, missingBytes / perMs)
    }
  }
}
