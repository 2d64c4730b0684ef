/** Jobs, their items and what the store keeps of them. */

/** One item as a client submits it. */
export interface JobItem {
  id: string
  /** Path of the request that runs the item. */
  path: string
  headers: Record<string, string>
  body: Buffer
  /** Tokens of the prompt and the most that may be generated. */
  tokens: number
}

/** How an item ended. A `dead_letter` item was given up. */
export type ItemOutcome = 'completed' | 'dead_letter'

/** A result at its position. */
export interface FinishedItem {
  /** Place of the item in the submission. */
  item: number
  outcome: ItemOutcome
}

/** The row of a job. Positions of results are the order of `listed`, which only grows. */
export interface JobRecord {
  jobId: string
  /** Client account that has handed the job in; undefined where callers need no key. */
  account?: string
  /** Host and path of the submission; they select the route for as long as the job is open. */
  host: string
  path: string
  /** Store time of the submission, in milliseconds. */
  submittedAtMs: number
  /** Store time until which all results are due. */
  dueAtMs: number
  /** Store time after which an item may be given up. */
  expiresAtMs: number
  /** Failed attempts after which an item is given up. */
  maxAttempts: number
  itemIds: string[]
  itemTokens: number[]
  listed: FinishedItem[]
  /** Failed attempts by item. */
  failures: Record<string, number>
  /** Set once a client has ended the job. */
  ended: boolean
}

/** The row by which a runner holds an item. Its version fences every write about the item. */
export interface ClaimRecord {
  jobId: string
  item: number
  /** Host of the runner. */
  runner: string
  /** Incarnation of the runner's process. */
  incarnation: string
  /** False once the runner has let go of the item. */
  held: boolean
  /** Last event whose text was saved when the item was let go of; a holder saves more without changing this. */
  savedEventId: number
}

/** What a daemon tells of itself, as a heartbeat. */
export interface MemberRecord {
  name: string
  role: 'gateway' | 'agent'
  incarnation: string
  /** Address of the peer port. */
  peerAddress: string
  failureDomain: string
  /** Store time until which the daemon is taken to be alive. */
  aliveUntilMs: number
  /** Time between two events of batch items at the daemon's engine; left out until it is known. */
  eventMs?: number
  /** Store time since which the daemons know of one of this name, its restarts included; left out by those who need not tell. */
  knownSinceMs?: number
}
