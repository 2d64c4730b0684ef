/** Randomised runs of the platform's path. */
export * from './rule/types'
export * from './rule/checkLost'
export * from './rule/cutRequest'
export * from './rule/exceptions'
export * from './rule/plannedWork'
