/**
 * Catalog of log events and their fields. Field names include their unit; ids come first, then the fields that distinguish causes, since readers
 * may keep only the beginning of a line. `drainMs` is the time since the stop signal and is absent in a process that does not drain.
 */

import type { RefusalReason } from '../requests/overload'

/** Fields of each event, by message. */
export interface EventFields {
  // Start and stop of the process.
  started: { role: string, address: string }
  stopping: { graceMs: number }
  'stop signal repeated': Record<string, never>
  'stop waits for requests': { requestCount: number, oldestMethod: string, oldestPath: string, oldestAgeMs: number }
  /** The request was still in progress when the drain ended. Times of its head, its last byte and its first send count from the stop signal; before it they are negative. */
  'request ended by the drain': { requestId: string, headMs: number, readMs: number, sentMs: number | undefined, offers: number, answerBegun: boolean }
  'gateway stopped': { unfinishedRequests: number }
  'runner stopped': { unsavedItems: number }
  'stop failed': { reason: string }
  'stop cut short': { afterMs: number }
  'settings read again': { path: string }
  'settings not taken': { reason: string }

  // State of configuration and endpoints in this process.
  'configuration in force': { version: number, routeCount: number, accountCount: number, keyCount: number }
  'key in two accounts': { version: number, accounts: string }
  /** Another gateway has become the home of an account's meter. */
  'meter handed over': { account: string, home: string, permits: number }
  'caller refused': { requestId: string, reason: string, configurationVersion: number | undefined }
  'endpoint listed': { endpoint: string, service: string, softwareVersion: string, address: string, state: string, restarted: boolean }
  'endpoint entry not usable': { endpoint: string, field: string, reason: string, replacedGood: boolean }
  /** The address of the local engine is used by another service than before. */
  'engine serves another service': { endpoint: string, service: string, formerService: string }
  'engine started anew': { endpoint: string, bornAtMs: number }
  'endpoint removed from the list': { endpoint: string, service: string, held: boolean }

  'endpoint probed after a lost connection': { endpoint: string, result: string }
  'request in progress at a crash': { fingerprint: string, crashCount: number, endpoint: string }
  /** One request with a quarantined prompt part is let through, to see whether the part still crashes endpoints. */
  'quarantined part tried again': { part: string, trials: number }
  /** An endpoint has completed the request, or one with the prompt part. */
  'suspect cleared': { fingerprint: string, shared: boolean }
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
  'table listener failed': { table: string, reason: string }
  'row cannot be used': { table: string, key: string, field: string, reason: string }

  // Requests.
  'request ended': RequestEndFields
  'request refused': RefusalFields
  'request over the limit of its account': { requestId: string, account: string | undefined, granter: string, turnMs: number, retryAfterMs: number }
  'no route': { requestId: string | undefined, status: number, configurationVersion: number | undefined }
  'endpoint chosen': EndpointChoiceFields
  'answer begun': { requestId: string, endpoint: string, status: number, afterMs: number }
  /** A stream that the client resumes was refused, because it is not known what it is bound to or nothing may continue it. */
  'stream not resumed': { requestId: string, resumesRequestId: string | undefined, reason: 'origin_unknown' | 'service_not_routed' }
  /** The response of the endpoint has no length, and its connection was closed in order after this event. */
  'stream end to be confirmed': { requestId: string, endpoint: string, lastEventId: number | undefined, afterMs: number }
  /** The request is also sent to another endpoint; the first that sends an event continues it. */
  'endpoint silent': { requestId: string, endpoint: string, lastEventId: number | undefined, afterMs: number }
  /** This process was paused while it should have read from an endpoint, so the endpoint does not count as failed yet. */
  'own pause noticed': { requestId: string, endpoint: string, lateMs: number }
  'attempt failed': AttemptFailureFields
  'request handling failed': { reason: string }
  'client bytes rejected': { requestId?: string, status: number, reason: string }
  /** A connection made room for others, or no request has come on it for too long. */
  'connection closed at the limit': { reason: string, connectionCount: number }
  /** More requests wait on a connection than this process takes. It is closed after those that were taken. */
  'pipeline ended': { waitingCount: number, connectionCount: number }
  /** A request that was not read whole. `stopping`: it got 503 at the end of the drain. `connection_ended`: it came behind the last response of its connection. */
  'request ended unread': { requestId: string | undefined, reason: 'client_left' | 'stopping' | 'connection_ended', drainMs: number | undefined, elapsedMs: number }

  traffic: TrafficFields

  // Jobs and items.
  'job submitted': { jobId: string, account: string | undefined, route: string, itemCount: number, outcome: string, elapsedMs: number }
  'job over the limit of waiting tokens': { jobId: string, tokens: number, waitingTokens: number, limitTokens: number }
  'job ended by its client': { jobId: string, account: string | undefined, outcome: string }
  'job removed after its retention': { jobId: string }
  /** The removal is tried again, since the store has not confirmed all of it. */
  'job not removed': { jobId: string }
  'items of a job cannot be read': { jobId: string, reason: string }
  'engine use': EngineUseFields
  'item claimed': { jobId: string, itemId: string, fromEventId: number, dueInMs: number, expectedMs: number }
  'item run started': { jobId: string, itemId: string, endpoint: string, fromEventId: number }
  /** The text of an item was discarded, since another software version produced it. */
  'item restarted': { jobId: string, itemId: string, lastEventId: number, softwareVersion: string, beganAtVersion: string | undefined }
  'item paused': { jobId: string, itemId: string, reason: string, lastEventId: number }
  'item released': { jobId: string, itemId: string, reason: string, saved: boolean, lastEventId: number }
  /** The store has a claim of this process on an item that it does not have in hand. */
  'orphaned claim found': { jobId: string, itemId: string, released: boolean }
  'item dropped': { jobId: string, itemId: string, reason: string }
  'item run ended': { jobId: string, itemId: string, end: string, reason: string | undefined, lastEventId: number, elapsedMs: number }
  'items given up': { jobId: string, reason: 'expired' | 'no_route', waitingCount: number, outcome: string }
  /** Jobs without a route are kept, since the store does not confirm the configuration. */
  'removed routes not confirmed': { jobCount: number }
  'item settled': { jobId: string, itemId: string, end: string, outcome: string }

  // Traffic between daemons.
  'peer socket failed': { reason: string }
  'peer message not sent': { to: string, reason: string }
  'peer message not readable': { from: string, bytes: number }
  'relayed call not read': { reason: string }
  'relayed call failed': { reason: string }

  // Internal errors.
  'runner step failed': { reason: string }
  'background task failed': { task: string, reason: string }
  'unhandled rejection': { reason: string }
  'uncaught exception': { reason: string }
}

/** Fields of a request that has ended. Absent fields do not apply to the outcome. */
// A type alias, since an interface is not assignable to the record type that the log library accepts.

type RequestEndFields = {
  requestId: string
  outcome: string
  drainMs: number | undefined
  /** Time since the head of the request arrived. */
  elapsedMs: number
  reason?: string
  status?: number
  /** How the response ended for a client that has received its head. */
  answerEnd?: AnswerEnd
  /** Whether the response has no length, and was completed although nothing confirmed the orderly end of its connection. */
  isEndUnconfirmed?: boolean
  endpoint?: string
  /** Whether the response came later than the objectives of the route allow. */
  late?: boolean
  route: string
  account?: string
  kind: string
  /** The client attempt whose stream this request resumes, as named by the client. */
  resumesRequestId?: string
  configurationVersion: number
  /** Number of attempts that may have run. */
  attempts: number
  /** Total number of sends. */
  offers: number
  lastEventId: number | undefined
  /** Number of forwarded events with an id, and the id of the first one. */
  eventCount?: number
  firstEventId?: number
  /** Software version of the endpoint that sent the first of these events. */
  softwareVersion?: string
  /** Time from the arrival of the request to the first event of a stream. */
  firstEventMs: number | undefined
}

/** `complete`: complete by the protocol, even if content is missing. `cut`: this process closed the connection. `left`: the client closed it. */
export type AnswerEnd = 'complete' | 'cut' | 'left'

/** Reason for refusing a request before any attempt: the estimated wait, the objective, and the load of the endpoints. */
type RefusalFields = {
  requestId: string
  reason: RefusalReason
  account: string | undefined
  /** Share of the account as a fraction of its use of the last second; below 1, the account is refused before others. */
  shareOfUse: number
  /** Estimated wait at the endpoint that would be free first. */
  waitMs: number
  /** Longest wait with which the request would be accepted. */
  allowedMs: number
  remainingMs: number
  retryAfterMs: number
  /** Number of candidate endpoints, including suspected ones. */
  candidateCount: number
  /** Number of candidates whose load was known. The fields below cover only these. */
  knownCount: number
  suspectedCount: number
  /** Number of online requests at the least loaded one. */
  leastOnline: number
  slots: number
}

/** Reason for choosing an endpoint: its load and the number of candidates. */

type EndpointChoiceFields = {
  requestId: string
  endpoint: string
  softwareVersion: string
  /** Number of requests at the endpoint that cannot be preempted, as far as known to this process. */
  online: number
  batchRunning: number
  slots: number
  suspected: boolean
  /** Time between two events of a run there; undefined if it is not known. */
  eventIntervalMs: number | undefined
  /** Number of candidate endpoints. */
  candidateCount: number
  /** Age of the load report; undefined if the agent has not reported. */
  loadAgeMs: number | undefined
  remainingMs: number
  afterMs: number
}

/** Reason for which an attempt failed. */
type AttemptFailureFields = {
  requestId: string
  reason: string
  drainMs: number | undefined
  /** Whether the endpoint may have run the request. */
  failure: string
  endpoint: string
  lastEventId: number | undefined
  remainingMs: number
  /** Prompt prefixes that other requests have too. */
  sharedPrefixes: string
}

/** Outcomes of the requests of a gateway in the last second, and the age of its configuration and endpoint list. */
type TrafficFields = {
  drainMs: number | undefined
  arrived: number
  /** Completed within their objectives. */
  answered: number
  /** Responses that are complete and report a failure. */
  failed: number
  /** Requests without a complete response, since this process closed their connections. */
  cut: number
  inProgress: number
  refused: number
  late: number
  /** Abandoned by their clients. */
  left: number
  /** Time since the last response of the store about the configuration and the list of endpoints; undefined before the first. */
  configurationAgeMs: number | undefined
  endpointsAgeMs: number | undefined
}

/** Usage of the slots of an engine, as recorded by its agent. */
type EngineUseFields = {
  endpoint: string
  slots: number
  /** Number of running and waiting requests that cannot be preempted. */
  online: number
  batchRunning: number
  /** Number of claimed items that are not running. */
  batchPaused: number
  reachable: boolean
  /** Time between two events of a run; undefined while there are too few runs to measure it. */
  eventIntervalMs: number | undefined
}

/** Message of an event. */
export type EventName = keyof EventFields

/** Logs one event of the catalog. */
type LogEvent = <Name extends EventName>(message: Name, fields: EventFields[Name]) => void

/** A log that accepts only events of the catalog. */
export interface EventLog {
  debug: LogEvent
  info: LogEvent
  warn: LogEvent
  error: LogEvent
  /** @returns a log that adds the name of a slice to each line */
  child: (slice: string) => EventLog
}
