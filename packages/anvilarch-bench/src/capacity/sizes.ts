/** The size that the system is designed for: the requirements of the users, and assumptions where they state none. */

/** Sizes that the users require. */
export const SIZES = {
  daemons: 340,
  replicas: 1300,
  requestsPerSecond: 5800,
  tokensPerSecond: 2_300_000,
  interTokenMs: 26,
  batchItemsPerDay: 510_000_000,
  jobsPerDay: 7600,
  largestJobItems: 910_000,
  callers: 37_000,
  models: 20,
  regions: 2,
  failureDomains: 5,
  configurationChangesPerDay: 1000,
  configurationLimitMs: 13_000
} as const

/** Budgets of one daemon for control, and the request rates that the platform supports. */
export const BUDGETS = {
  cpuShare: 0.019,
  memoryBytes: 64 * 1024 * 1024,
  bytesPerSecond: 22_000,
  tableWritesPerSecond: 300,
  tableReadsPerSecond: 2000,
  objectWritesPerSecond: 300,
  objectReadsPerSecond: 2000
} as const

/** Values that are neither required nor measured; the tables mark them as assumed. */
export const ASSUMED = {
  /** Daemons that are gateways; the others are agents. */
  gateways: 40,
  /** Share of tokens that are streamed to online callers; the output of a batch item is sent whole. */
  onlineTokenShare: 0.5,
  /** Bytes of one batch result. */
  resultBytes: 2000,
  /** Share of batch work in the region that loses the table. */
  regionShare: 0.5
} as const

export const SECONDS_PER_DAY = 86_400

/** Mean rate of batch items over the day. */
export const ITEMS_PER_SECOND = SIZES.batchItemsPerDay / SECONDS_PER_DAY

/** Daemons that are agents. */
export const AGENTS = SIZES.daemons - ASSUMED.gateways
