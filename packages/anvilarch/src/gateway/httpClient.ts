/** HTTP to one of several gateways: the next one is tried when one can't be reached. */
import type { Readable } from 'node:stream'
import { Agent, type Dispatcher, request } from 'undici'
import { isFramed } from 'anvilarch-utils'
import { CliError } from '../cliError'
import { answerFailure, isTakenElsewhere, transportFailure } from './failures'

/** One call. */
export interface HttpCall {
  method: 'GET' | 'POST'
  path: string
  /** Named in errors, in the form `slice.operation`. */
  step: string
  headers?: Record<string, string>
  /** Makes the body anew for each gateway that is tried. */
  body?: () => string | Readable
  /** Whether a second run does no harm, so that a lost connection may be followed by a try elsewhere. */
  isRepeatable: boolean
  /** Longest wait for the head of the answer, and between two parts of its body. */
  answerTimeoutMs?: number
}

/** Options of `createHttpClient`. */
export interface HttpClientOptions {
  /** Base URLs, in the order in which they are tried. */
  gatewayUrls: string[]
  apiKey?: string
  connectTimeoutMs: number
  /** Of a call that names no limit of its own. */
  answerTimeoutMs: number
}

/**
 * Default time limits. A gateway that is stopped or cut off still lets connections in, so that only the missing answer
 * tells; until then an operator waits. Gateways wait 5 s at most before they answer an operator.
 */
export const DEFAULT_HTTP_CLIENT_OPTIONS: Pick<HttpClientOptions, 'connectTimeoutMs' | 'answerTimeoutMs'> = {
  connectTimeoutMs: 3000,
  answerTimeoutMs: 10_000
}

/** Sends calls to gateways. */
export interface HttpClient {
  /** @returns the JSON body; rejects with a `CliError` */
  json: <Answer>(call: HttpCall) => Promise<Answer>
  /** @returns the body as it comes; reading it may fail with a `CliError` from `transportFailure` */
  stream: (call: HttpCall) => Promise<{ body: Readable, gatewayUrl: string }>
  close: () => Promise<void>
}

/** The one status of a gateway's whole answer: no call asks for a part of one or follows a redirect. */
const STATUS_WHOLE = 200

/**
 * @param options - gateways, key and time limits
 * @returns a client that remembers which gateway answered last
 */
export function createHttpClient (options: HttpClientOptions): HttpClient {
  const dispatcher = new Agent({ connect: { timeout: options.connectTimeoutMs } })
  let urls = [...options.gatewayUrls]

  const send = async (gatewayUrl: string, call: HttpCall): Promise<Dispatcher.ResponseData> => {
    const authorization = options.apiKey === undefined ? {} : { authorization: `Bearer ${options.apiKey}` }
    const timeoutMs = call.answerTimeoutMs ?? options.answerTimeoutMs
    const answer = await request(new URL(call.path, gatewayUrl), {
      method: call.method,
      headers: { ...authorization, ...call.headers },
      body: call.body?.(),
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
      dispatcher
    })
    if (answer.statusCode === STATUS_WHOLE) return answer
    const retryAfter = answer.headers['retry-after']
    throw answerFailure(answer.statusCode, await answer.body.text(), typeof retryAfter === 'string' ? retryAfter : undefined, call.step, gatewayUrl)
  }

  const mayGoOn = (error: CliError, call: HttpCall): boolean =>
    isTakenElsewhere(error) || (call.isRepeatable && error.code === 'outcome_unknown' && error.exit === 'unreachable')

  /** Runs `read` on the answer of the first gateway that gives one. */
  const firstAnswer = async <Answer>(call: HttpCall, read: (answer: Dispatcher.ResponseData, gatewayUrl: string) => Promise<Answer>): Promise<Answer> => {
    let last: CliError | undefined
    for (const gatewayUrl of urls) {
      try {
        const answer = await read(await send(gatewayUrl, call), gatewayUrl)
        urls = [gatewayUrl, ...urls.filter(url => url !== gatewayUrl)]
        return answer
      } catch (cause) {
        last = transportFailure(cause, { step: call.step, gatewayUrl, isRead: call.method === 'GET' })
        if (!mayGoOn(last, call)) throw last
      }
    }
    throw last ?? noGateway(call)
  }

  return {
    json: call => firstAnswer(call, async ({ body }) => JSON.parse(await textOf(body))),
    stream: call => firstAnswer(call, async (answer, gatewayUrl) => ({ body: await framedBody(answer), gatewayUrl })),
    close: async () => { await dispatcher.destroy() }
  }
}

function noGateway (call: HttpCall): CliError {
  return new CliError('No gateway is named.', { code: 'bad_request', step: call.step, exit: 'usage', ran: 'not_run', hint: 'Give --gateway.' })
}

async function textOf (body: Readable): Promise<string> {
  const parts: Buffer[] = []
  for await (const part of body) parts.push(part as Buffer)
  return Buffer.concat(parts).toString('utf8')
}

/** A body that ends with its connection may have been cut, and nothing in a stream would show it. */
async function framedBody ({ statusCode, headers, body }: Dispatcher.ResponseData): Promise<Readable> {
  if (isFramed(statusCode, name => headers[name]?.toString())) return body
  await body.dump()
  throw new Error('it names neither a length nor chunks')
}
