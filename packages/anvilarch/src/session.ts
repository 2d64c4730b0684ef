/** Session of a running command. */
import { CliError } from './cliError'
import type { CliEnvironment } from './environment'
import { createGatewayClient, type GatewayClient } from './gateway/gatewayClient'
import { createHttpClient, DEFAULT_HTTP_CLIENT_OPTIONS } from './gateway/httpClient'

/** A running command: its environment and its client of the gateways. */
export interface CliSession {
  environment: CliEnvironment
  gateway: GatewayClient
  /** Writes a line to standard error, unless `--json` is given. */
  note: (line: string) => void
}

/** Options that every command takes. */
export interface GlobalOptions {
  gateway: string | undefined
  apiKey: string | undefined
  json: boolean
}

/** Environment variables that are used if the option is missing. */
export const VARIABLES = { gateway: 'ANVILARCH_GATEWAY', apiKey: 'ANVILARCH_API_KEY' } as const

/** Address of a gateway of the local fleet. */
export const DEFAULT_GATEWAY_URL = 'http://127.0.0.1:8080'

/**
 * @param environment - of the command
 * @param options - global options of the command line
 * @returns a session, whose gateway client must be closed at the end
 * @throws CliError when a gateway is not a URL
 */
export function createSession (environment: CliEnvironment, options: GlobalOptions): CliSession {
  const http = createHttpClient({
    ...DEFAULT_HTTP_CLIENT_OPTIONS,
    gatewayUrls: parseGatewayUrls(options.gateway ?? environment.variables[VARIABLES.gateway] ?? DEFAULT_GATEWAY_URL),
    apiKey: options.apiKey ?? environment.variables[VARIABLES.apiKey]
  })
  return {
    environment,
    gateway: createGatewayClient(http),
    note: line => { if (!options.json) environment.stderr.write(`${line}\n`) }
  }
}

function parseGatewayUrls (text: string): string[] {
  const urls = text.split(',').map(url => url.trim()).filter(url => url !== '')
  const invalid = urls.find(url => !/^https?:\/\//.test(url) || !URL.canParse(url))
  if (invalid === undefined && urls.length > 0) return urls
  throw new CliError(`Gateway "${invalid ?? text}" is not a URL.`, {
    code: 'bad_request', step: 'cli.options', exit: 'usage', ran: 'not_run', hint: `Give one or more URLs with commas between them, for example --gateway ${DEFAULT_GATEWAY_URL}.`
  })
}
