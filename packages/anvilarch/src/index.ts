/** The command-line tool as a library for the demo and tests. */
export { type CliEnvironment, createProcessEnvironment } from './environment'
export { EXIT_CODES, type ExitReason } from './exitCodes'
export { runCli } from './runCli'
