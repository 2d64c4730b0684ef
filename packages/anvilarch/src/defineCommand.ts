/** Defines a command and adds what all commands share: global options, examples in the help, output and exit code. */
import { command, flag, option, optional, string } from 'cmd-ts'
import { type CliError, cliErrorJson, formatCliError, toCliError } from './cliError'
import type { CliEnvironment } from './environment'
import { EXIT_CODES, type ExitReason } from './exitCodes'
import { type CliSession, createSession, DEFAULT_GATEWAY_URL, type GlobalOptions, VARIABLES } from './session'

/** Result of a command. */
export interface CommandResult {
  /** Printed with `--json`. Nothing is printed if undefined. */
  json: unknown
  /** Printed without `--json`. */
  text: string
  /** `ok` by default. */
  exit?: ExitReason
}

/** An example in the help of a command. */
export interface CommandExample {
  description: string
  line: string
}

type CommandArguments = Parameters<typeof command>[0]['args']
type ParsedArguments<Args extends CommandArguments> = Parameters<Parameters<typeof command<Args, (args: any) => unknown>>[0]['handler']>[0]

/** Definition of a command. */
export interface CommandDefinition<Args extends CommandArguments> {
  name: string
  description: string
  args: Args
  examples: CommandExample[]
  run: (args: ParsedArguments<Args> & GlobalOptions, session: CliSession) => Promise<CommandResult>
}

/** Receives the exit code of the command that ran. */
export type ExitListener = (exitCode: number) => void

/** Creates the command for one process. */
export type CommandFactory = (environment: CliEnvironment, onExit: ExitListener) => ReturnType<typeof command>

// The parser's `env` setting would read the variables too, but would print their values, and so the API key, in the help.
const GLOBAL_ARGUMENTS = {
  gateway: option({
    long: 'gateway',
    type: optional(string),
    description: `URL of a gateway, or several with commas; the next one is tried when one can't be reached [${VARIABLES.gateway}, else ${DEFAULT_GATEWAY_URL}]`
  }),
  apiKey: option({ long: 'api-key', type: optional(string), description: `bearer key of the caller account [${VARIABLES.apiKey}]` }),
  json: flag({ long: 'json', description: 'print one JSON value, also for an error' })
}

/**
 * @param definition - name, arguments and implementation
 * @returns a factory for the command
 */
export function defineCommand<Args extends CommandArguments> (definition: CommandDefinition<Args>): CommandFactory {
  const { name, description, args, examples, run } = definition
  return (environment, onExit) => {
    const created = command({
      name,
      description,
      args: { ...args, ...GLOBAL_ARGUMENTS },
      handler: async parsed => {
        const options = parsed as unknown as ParsedArguments<Args> & GlobalOptions
        onExit(await runCommand(environment, options, session => run(options, session)))
      }
    })
    const printHelp: typeof created.printHelp = context => `${created.printHelp(context)}\n\n${formatExamples(examples)}`
    return { ...created, printHelp } as unknown as ReturnType<typeof command>
  }
}

async function runCommand (
  environment: CliEnvironment, options: GlobalOptions, run: (session: CliSession) => Promise<CommandResult>
): Promise<number> {
  let session: CliSession | undefined
  try {
    session = createSession(environment, options)
    const result = await run(session)
    printResult(environment, options, result)
    return EXIT_CODES[result.exit ?? 'ok'].code
  } catch (thrown) {
    const error = toCliError(thrown)
    const exitCode = EXIT_CODES[error.exit].code
    printError(environment, options, error, exitCode)
    return exitCode
  } finally {
    await session?.gateway.close()
  }
}

function printResult (environment: CliEnvironment, options: GlobalOptions, result: CommandResult): void {
  if (options.json && result.json !== undefined) environment.stdout.write(`${JSON.stringify(result.json)}\n`)
  if (!options.json && result.text !== '') environment.stdout.write(`${result.text}\n`)
}

function printError (environment: CliEnvironment, options: GlobalOptions, error: CliError, exitCode: number): void {
  if (options.json) environment.stdout.write(`${JSON.stringify(cliErrorJson(error, exitCode))}\n`)
  else environment.stderr.write(`${formatCliError(error)}\n`)
}

function formatExamples (examples: CommandExample[]): string {
  const lines = examples.flatMap(example => [`  # ${example.description}`, `  ${example.line}`])
  return ['EXAMPLES:', ...lines].join('\n')
}
