/** Public exports of the package. */
export * from './context'
export { createMetrics } from './metrics/createMetrics'
export { createTimeline } from './timeline/createTimeline'
export { createConfigurationHolder } from './configuration/createConfigurationHolder'
export { createPlatform } from './platform/createPlatform'
