/** HTTP client with failover: if a gateway can't be reached, the next one is tried. */
import type { Readable } from 'node:stream'
import { Agent, type Dispatcher, request } from 'undici'
import { CliError } from '../cliError'
import { mayUseOtherGateway, responseFailure, transportFailure } from './failures'
import { requireFramedBody } from './framedBody'

/** One HTTP call. */
export interface HttpCall {
  method: 'GET' | 'POST'
  path: string
  /** Reported in errors, in the form `slice.operation`. */
  step: string
  headers?: Record<string, string>
  /** Creates the body; called once for each gateway that is tried. */
  body?: () => string | Readable
  /** Whether the call may run twice, so that it can be sent to another gateway after a lost connection. */
  isRepeatable: boolean
  /** Longest wait for the head of the response, and between two chunks of its body. */
  responseTimeoutMs?: number
}

/** Options of `createHttpClient`. */
export interface HttpClientOptions {
  /** Base URLs, in the order in which they are tried. */
  gatewayUrls: string[]
  apiKey?: string
  connectTimeoutMs: number
  /** Default for calls without a limit of their own. */
  responseTimeoutMs: number
}

/**
 * Default timeouts. A paused or disconnected gateway may still accept connections, so only the missing response reveals it, and
 * the operator waits until then. Gateways respond to operators within 5 s.
 */
export const DEFAULT_HTTP_CLIENT_OPTIONS: Pick<HttpClientOptions, 'connectTimeoutMs' | 'responseTimeoutMs'> = {
  connectTimeoutMs: 3000,
  responseTimeoutMs: 10_000
}

/** Sends calls to gateways. */
export interface HttpClient {
  /** @returns the parsed JSON body; rejects with a `CliError` */
  json: <Body>(call: HttpCall) => Promise<Body>
  /** @returns the body as a stream; errors while reading it are to be converted with `transportFailure` */
  stream: (call: HttpCall) => Promise<{ body: Readable, gatewayUrl: string }>
  close: () => Promise<void>
}

/** The only status of a complete response: no call requests a byte range or follows a redirect. */
const HTTP_OK = 200

/**
 * @param options - gateways, API key and timeouts
 * @returns a client that first tries the gateway that responded last
 */
export function createHttpClient (options: HttpClientOptions): HttpClient {
  const dispatcher = new Agent({ connect: { timeout: options.connectTimeoutMs } })
  let urls = [...options.gatewayUrls]

  const send = async (gatewayUrl: string, call: HttpCall): Promise<Dispatcher.ResponseData> => {
    const authorization = options.apiKey === undefined ? {} : { authorization: `Bearer ${options.apiKey}` }
    const timeoutMs = call.responseTimeoutMs ?? options.responseTimeoutMs
    const response = await request(new URL(call.path, gatewayUrl), {
      method: call.method,
      headers: { ...authorization, ...call.headers },
      body: call.body?.(),
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
      dispatcher
    })
    if (response.statusCode === HTTP_OK) return response
    const retryAfter = response.headers['retry-after']
    throw responseFailure(response.statusCode, await response.body.text(), typeof retryAfter === 'string' ? retryAfter : undefined, call.step, gatewayUrl)
  }

  const mayTryNextGateway = (error: CliError, call: HttpCall): boolean =>
    mayUseOtherGateway(error) || (call.isRepeatable && error.code === 'outcome_unknown' && error.exit === 'unreachable')

  /** Tries the gateways in order and runs `read` on the first response. */
  const tryGateways = async <Result>(call: HttpCall, read: (response: Dispatcher.ResponseData, gatewayUrl: string) => Promise<Result>): Promise<Result> => {
    let last: CliError | undefined
    for (const gatewayUrl of urls) {
      try {
        const result = await read(await send(gatewayUrl, call), gatewayUrl)
        urls = [gatewayUrl, ...urls.filter(url => url !== gatewayUrl)]
        return result
      } catch (cause) {
        last = transportFailure(cause, { step: call.step, gatewayUrl, isRead: call.method === 'GET' })
        if (!mayTryNextGateway(last, call)) throw last
      }
    }
    throw last ?? noGatewayError(call)
  }

  return {
    json: call => tryGateways(call, async response => JSON.parse(await readText(await requireFramedBody(response)))),
    stream: call => tryGateways(call, async (response, gatewayUrl) => ({ body: await requireFramedBody(response), gatewayUrl })),
    close: async () => { await dispatcher.destroy() }
  }
}

function noGatewayError (call: HttpCall): CliError {
  return new CliError('No gateway is given.', { code: 'bad_request', step: call.step, exit: 'usage', ran: 'not_run', hint: 'Give --gateway.' })
}

async function readText (body: Readable): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of body) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks).toString('utf8')
}
