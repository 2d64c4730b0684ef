/** Jobs, their items and the records that the store holds of them. */

/** One item as a client submits it. */
export interface JobItem {
  id: string
  /** Path of the request that runs the item. */
  path: string
  headers: Record<string, string>
  body: Buffer
  /** Prompt tokens plus the maximum number of generated tokens. */
  tokens: number
}

/** Outcome of an item. A `dead_letter` item was given up. */
export type ItemOutcome = 'completed' | 'dead_letter'

/** An item with an outcome. Its index in `JobRecord.listed` is the position of its result. */
export interface FinishedItem {
  /** Index of the item in the submission. */
  item: number
  outcome: ItemOutcome
}

/** Row of a job. Entries are only appended to `listed`, so that the position of a result never changes. */
export interface JobRecord {
  jobId: string
  /** Client account that submitted the job; undefined where callers need no key. */
  account?: string
  /** Host and path of the submission; they select the route while the job is open. */
  host: string
  path: string
  /** Store time of the submission, in milliseconds. */
  submittedAtMs: number
  /** Store time by which all results are due. */
  dueAtMs: number
  /** Store time after which an item may be given up. */
  expiresAtMs: number
  /** Failed attempts after which an item is given up. */
  maxAttempts: number
  itemIds: string[]
  itemTokens: number[]
  listed: FinishedItem[]
  /** Number of failed attempts by item index. */
  failures: Record<string, number>
  /** Set once a client has ended the job. */
  ended: boolean
}

/** Row by which a runner claims an item. Its version fences every write about the item. */
export interface ClaimRecord {
  jobId: string
  item: number
  /** Host of the runner. */
  runner: string
  /** Incarnation of the runner's process. */
  incarnation: string
  /** False once the runner has released the item. */
  held: boolean
  /** Last event whose text was saved when the item was released; saves made during a claim do not change it. */
  savedEventId: number
}

/** Heartbeat of a daemon. */
export interface MemberRecord {
  name: string
  role: 'gateway' | 'agent'
  incarnation: string
  /** Address of the peer port. */
  peerAddress: string
  failureDomain: string
  /** Store time until which the daemon counts as alive. */
  aliveUntilMs: number
  /** Time between two events of batch items at the daemon's engine; absent until it has been measured. */
  eventMs?: number
  /** Store time since which a daemon of this name has been listed, across restarts; absent for daemons that need not report it. */
  knownSinceMs?: number
}
