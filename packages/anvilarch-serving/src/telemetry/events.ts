/** The catalogue of what is logged: each event and its fields. Fields carry their unit; ids come first. */

/** Fields of each event, by its message. */
export interface EventFields {
  // Start and stop of the process.
  started: { role: string, address: string }
  stopping: { graceMs: number }
  'stop waits for requests': { requestCount: number, oldestMethod: string, oldestPath: string, oldestAgeMs: number }
  'gateway stopped': { unfinishedRequests: number }
  'runner stopped': { unsavedItems: number }
  'stop failed': { reason: string }
  'stop cut short': { afterMs: number }
  'settings read again': { path: string }
  'settings not taken': { reason: string }

  // What the process believes of configuration and endpoints.
  'configuration in force': { version: number, routeCount: number, accountCount: number, keyCount: number }
  'key in two accounts': { version: number, accounts: string }
  'caller refused': { requestId: string, reason: string, configurationVersion: number | undefined }
  'endpoint listed': { endpoint: string, service: string, address: string, state: string, restarted: boolean }
  'endpoint entry not usable': { endpoint: string, field: string, reason: string, replacedGood: boolean }
  'engine started anew': { endpoint: string, bornAtMs: number }
  'endpoint removed from the list': { endpoint: string, service: string, held: boolean }

  'request in progress at a crash': { fingerprint: string, crashCount: number, endpoint: string }
  'suspects not shared': { recordCount: number }

  // The store.
  'store does not serve this host': { reason: string }
  'store answers again': { afterMs: number }
  'store answer cannot be read': { reason: string }
  'store rejects a transaction': { status: number, body: string }
  'table listed': { table: string, rowCount: number, version: number }
  'table listing failed': { table: string, reason: string }
  'feed lost': { table: string, reason: string, openMs: number }
  'feed answers again': { table: string, failedCalls: number, afterMs: number, openMs: number }
  'feed history lost, listing again': { table: string, version: number }
  'row cannot be used': { table: string, key: string, field: string, reason: string }

  // Requests.
  'request ended': RequestEndFields
  'request refused': RefusalFields
  'request over the limit of its account': { requestId: string, account: string | undefined, granter: string, retryAfterMs: number }
  'no route': { requestId: string | undefined, status: number, configurationVersion: number | undefined }
  'endpoint chosen': EndpointChoiceFields
  'answer begun': { requestId: string, endpoint: string, status: number, afterMs: number }
  /** This process stood still when it should have listened to an endpoint, which is therefore not judged yet. */
  'own pause noticed': { requestId: string, endpoint: string, lateMs: number }
  'attempt failed': { requestId: string, endpoint: string, failure: string, reason: string, lastEventId: number | undefined, remainingMs: number }
  'request handling failed': { reason: string }
  'client bytes rejected': { requestId?: string, status: number, reason: string }

  traffic: TrafficFields

  // Jobs and items.
  'job submitted': { jobId: string, account: string | undefined, route: string, itemCount: number, outcome: string, elapsedMs: number }
  'job over the limit of waiting tokens': { jobId: string, tokens: number, waitingTokens: number, limitTokens: number }
  'job ended by its client': { jobId: string, account: string | undefined, outcome: string }
  'job removed after its retention': { jobId: string }
  'items of a job cannot be read': { jobId: string, reason: string }
  'engine use': EngineUseFields
  'item claimed': { jobId: string, itemId: string, fromEventId: number, dueInMs: number, expectedMs: number }
  'item run started': { jobId: string, itemId: string, endpoint: string, fromEventId: number }
  'item paused': { jobId: string, itemId: string, reason: string, lastEventId: number }
  'item released': { jobId: string, itemId: string, reason: string, saved: boolean, lastEventId: number }
  'item dropped': { jobId: string, itemId: string, reason: string }
  'item run ended': { jobId: string, itemId: string, end: string, reason: string | undefined, lastEventId: number, elapsedMs: number }
  'item settled': { jobId: string, itemId: string, end: string, outcome: string }

  // Traffic between daemons.
  'peer socket failed': { reason: string }
  'peer message not readable': { from: string, bytes: number }
  'relayed call not read': { reason: string }
  'relayed call failed': { reason: string }

  // Errors of the program.
  'runner step failed': { reason: string }
  'background task failed': { task: string, reason: string }
  'unhandled rejection': { reason: string }
  'uncaught exception': { reason: string }
}

/** The end of a request. Absent fields do not apply to the outcome. */
// A type literal, since only those may pass for the plain record of fields that the log library takes.

type RequestEndFields = {
  requestId: string
  route: string
  account?: string
  kind: string
  outcome: string
  configurationVersion: number
  /** Attempts that may have run. */
  attempts: number
  /** Sends in all. */
  offers: number
  lastEventId: number | undefined
  /** Events with an id that were handed on, and the id of the first of them. */
  eventCount?: number
  firstEventId?: number
  /** How the client sees the end of an answer whose head it has. */
  answerEnd?: AnswerEnd
  /** From the arrival to the first event of a stream. */
  firstEventMs: number | undefined
  elapsedMs: number
  /** Answered, but later than the objectives of the route allow. */
  late?: boolean
  endpoint?: string
  status?: number
  reason?: string
}

/** `complete`: the protocol says so, whatever is missing. `cut`: the connection was closed. `left`: by the client. */
export type AnswerEnd = 'complete' | 'cut' | 'left'

/** Why a request was refused before any attempt: the wait against the objective, and how full the endpoints were. */
type RefusalFields = {
  requestId: string
  reason: string
  /** Estimate of the wait at the endpoint that would be free first. */
  waitMs: number
  objectiveMs: number
  remainingMs: number
  /** Endpoints that could have been chosen, those under suspicion among them, and requests at the least loaded one. */
  candidateCount: number
  /** Endpoints whose load was known at that moment; all below is of these. */
  knownCount: number
  suspectedCount: number
  leastOnline: number
  slots: number
}

/** Why an endpoint was chosen: its load and the choice there was. */

type EndpointChoiceFields = {
  requestId: string
  endpoint: string
  /** Requests there that do not give way, as far as this process knew. */
  online: number
  batchRunning: number
  slots: number
  suspected: boolean
  /** Endpoints that could have been chosen. */
  candidateCount: number
  /** Since the agent told of its load; undefined when it has not. */
  loadAgeMs: number | undefined
  remainingMs: number
  afterMs: number
}

/** What became of the requests of a gateway in the last second, and how old its knowledge is. */
type TrafficFields = {
  arrived: number
  /** Answered within their objectives. */
  answered: number
  late: number
  refused: number
  failed: number
  /** Left by their clients. */
  left: number
  inProgress: number
  /** Since the store last answered about the configuration and the list of endpoints; undefined before the first time. */
  configurationAgeMs: number | undefined
  endpointsAgeMs: number | undefined
}

/** Slots of an engine, as its agent knows them. */
type EngineUseFields = {
  endpoint: string
  slots: number
  /** Requests that run or wait and do not give way. */
  online: number
  batchRunning: number
  /** Items held without a run. */
  batchPaused: number
  reachable: boolean
}

/** Message of an event. */
export type EventName = keyof EventFields

/** Logs one event of the catalogue. */
type LogEvent = <Name extends EventName>(message: Name, fields: EventFields[Name]) => void

/** A log that takes events of the catalogue only. */
export interface EventLog {
  debug: LogEvent
  info: LogEvent
  warn: LogEvent
  error: LogEvent
  /** @returns a log that adds a slice name to each line */
  child: (slice: string) => EventLog
}
