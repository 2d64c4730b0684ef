/** Load, experiments, measurements and their report. */
export * from './load/arrivals'
export * from './load/openLoop'
export * from './statistics/latencyRecorder'
export * from './statistics/spread'
