/** Randomised runs of the platform's path. */
export * from './rule/types'
