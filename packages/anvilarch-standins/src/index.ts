/** Stand-ins for the platform and the endpoints, each startable in process by a test or as a process of its own. */
export * from './common/faults'
export { CRASH_EXIT_CODE, type StandinHandle, type StandinOptions } from './common/httpEdge'
export * from './table/tableStandin'
export * from './objects/objectStandin'
export * from './hosts/hostStandin'
