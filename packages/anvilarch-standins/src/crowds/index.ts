export type { Crowd, CrowdForm, CrowdOptions, CrowdTarget } from './types'
export { openCrowd } from './openCrowd'
export { tinyChunks } from './crowdForms'
export { readResidentBytes, readUsage, watchUsage, type ProcessUsage, type UsageWatch } from './processUsage'
