/** What every package shares: time, tasks, life cycle, errors, invariants, random numbers and logs. */
export * from './clock'
export * from './fakeClock'
export * from './errors'
export * from './invariant'
export * from './lifecycle'
export * from './mailbox'
export * from './random'
export * from './logger'
