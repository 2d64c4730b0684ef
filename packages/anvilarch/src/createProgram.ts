/** Combines all commands into one program. */
import { subcommands } from 'cmd-ts'
import { accountList } from './commands/accountList'
import { accountShow } from './commands/accountShow'
import { accountUsage } from './commands/accountUsage'
import { configApply } from './commands/configApply'
import { configDiff } from './commands/configDiff'
import { configShow } from './commands/configShow'
import { configStatus } from './commands/configStatus'
import { configValidate } from './commands/configValidate'
import { endpointDrain } from './commands/endpointDrain'
import { endpointList } from './commands/endpointList'
import { explain } from './commands/explain'
import { logsFailures } from './commands/logsFailures'
import { logsReport } from './commands/logsReport'
import { logsVolume } from './commands/logsVolume'
import { jobCancel } from './commands/jobCancel'
import { jobList } from './commands/jobList'
import { jobResults } from './commands/jobResults'
import { jobShow } from './commands/jobShow'
import { jobSubmit } from './commands/jobSubmit'
import { serviceList } from './commands/serviceList'
import { status } from './commands/status'
import { storeShow } from './commands/storeShow'
import { timeline } from './commands/timeline'
import type { CommandFactory, ExitListener } from './defineCommand'
import type { CliEnvironment } from './environment'
import { describeExitCodes } from './exitCodes'

/** Commands by group; the group is the first word of a command line. */
const GROUPS: Record<string, { description: string, commands: Record<string, CommandFactory> }> = {
  config: {
    description: 'the configuration document',
    commands: { validate: configValidate, apply: configApply, show: configShow, diff: configDiff, status: configStatus }
  },
  job: {
    description: 'batch jobs',
    commands: { submit: jobSubmit, show: jobShow, results: jobResults, cancel: jobCancel, list: jobList }
  },
  service: { description: 'services', commands: { list: serviceList } },
  endpoint: { description: 'endpoints', commands: { list: endpointList, drain: endpointDrain } },
  logs: { description: 'logs of daemons', commands: { failures: logsFailures, report: logsReport, volume: logsVolume } },
  account: { description: 'client accounts on the platform', commands: { list: accountList, show: accountShow, usage: accountUsage } },
  store: { description: 'the platform\'s store', commands: { show: storeShow } }
}

/** Commands without a group. */
const SINGLE_COMMANDS: Record<string, CommandFactory> = { status, timeline, explain }

/**
 * @param environment - of the process
 * @param version - printed by `--version`
 * @param onExit - receives the exit code of the command
 * @returns the program, as the argument parser runs it
 */
export function createProgram (environment: CliEnvironment, version: string, onExit: ExitListener) {
  const createAll = (factories: Record<string, CommandFactory>) =>
    Object.fromEntries(Object.entries(factories).map(([name, factory]) => [name, factory(environment, onExit)]))
  const groups = Object.entries(GROUPS).map(([name, { description, commands }]) =>
    [name, subcommands({ name, description, cmds: createAll(commands) })])
  const program = subcommands({
    name: 'anvilarch',
    version,
    description: 'Operate an anvilarch fleet: configuration, jobs, endpoints, time lines',
    cmds: { ...Object.fromEntries(groups), ...createAll(SINGLE_COMMANDS) }
  })
  const { printHelp } = program as unknown as { printHelp: (context: unknown) => string }
  const withExitCodes = (context: unknown): string =>
    `${printHelp.call(program, context)}\n\nEXAMPLE:\n  anvilarch config apply chamber.jsonc --wait\n\nEXIT CODES:\n${describeExitCodes()}`
  return { ...program, printHelp: withExitCodes }
}
