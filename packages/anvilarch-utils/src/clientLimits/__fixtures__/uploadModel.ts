/** Model of uploads of ordinary clients beside a crowd whose bodies stop short of their end and that comes again whenever it is refused. */
import { createFakeClock } from '../../fakeClock'
import { createUploadBudget, type Upload, type UploadProgress } from '../uploadBudget'

const TICK_MS = 10
const PLAY_MS = 20_000
const LIMIT_BYTES = 20_000_000

const CROWD_CLIENTS = 60
const CROWD_BYTES = 4_000_000
const CROWD_RETURN_MS = 1000

/** Time for which a whole body is used. */
const USE_MS = 100

/** Kinds of ordinary uploads. */
export const UPLOAD_KINDS = {
  small: { bytes: 600, durationMs: 10, intervalMs: 50 },
  medium: { bytes: 100_000, durationMs: 300, intervalMs: 200 },
  large: { bytes: 2_000_000, durationMs: 1000, intervalMs: 1000 }
} as const

export type UploadKind = keyof typeof UPLOAD_KINDS

/** Options of `playUploads`. */
export interface UploadModelOptions {
  weightOf: (progress: UploadProgress) => number
  /** Time over which a client of the crowd sends its body. */
  crowdSendMs: number
}

interface Sender {
  kind: UploadKind | 'crowd'
  upload: Upload
  bytes: number
  durationMs: number
  sentBytes: number
  evicted: boolean
}

/** @returns share of the ordinary uploads of each kind that were whole at their first try */
export function playUploads ({ weightOf, crowdSendMs }: UploadModelOptions): Record<UploadKind, number> {
  const clock = createFakeClock()
  const budget = createUploadBudget({ clock, limitBytes: LIMIT_BYTES, weightOf })
  const senders = new Set<Sender>()
  const came: Record<UploadKind, number> = { small: 0, medium: 0, large: 0 }
  const served: Record<UploadKind, number> = { small: 0, medium: 0, large: 0 }

  const open = (kind: Sender['kind'], bytes: number, durationMs: number): void => {
    const sender: Sender = { kind, upload: budget.open(() => end(sender)), bytes, durationMs, sentBytes: 0, evicted: false }
    senders.add(sender)
  }
  const end = (sender: Sender): void => {
    sender.evicted = true
    sender.upload.release()
    senders.delete(sender)
    if (sender.kind === 'crowd') clock.after(CROWD_RETURN_MS, () => open('crowd', CROWD_BYTES, crowdSendMs))
  }
  const send = (sender: Sender): void => {
    const { kind, upload, bytes, durationMs } = sender
    const last = kind === 'crowd' ? bytes - 1 : bytes
    const added = Math.min(Math.ceil(bytes * TICK_MS / durationMs), last - sender.sentBytes)
    if (added === 0) return
    if (!upload.tryAdd(added)) {
      end(sender)
      return
    }
    sender.sentBytes += added
    if (sender.sentBytes < bytes || kind === 'crowd') return
    served[kind]++
    upload.complete()
    senders.delete(sender)
    clock.after(USE_MS, upload.release)
  }

  for (let client = 0; client < CROWD_CLIENTS; client++) open('crowd', CROWD_BYTES, crowdSendMs)
  for (let atMs = 0; atMs < PLAY_MS; atMs += TICK_MS) {
    for (const kind of Object.keys(UPLOAD_KINDS) as UploadKind[]) {
      const { bytes, durationMs, intervalMs } = UPLOAD_KINDS[kind]
      if (atMs % intervalMs !== 0 || atMs + durationMs >= PLAY_MS) continue
      came[kind]++
      open(kind, bytes, durationMs)
    }
    for (const sender of [...senders]) if (!sender.evicted) send(sender)
    clock.advance(TICK_MS)
  }
  return { small: served.small / came.small, medium: served.medium / came.medium, large: served.large / came.large }
}
