/** Calls of the batch routes, with the responses as the client received them. */
import type { ItemSpec, JobResponse, ResultLine } from '../types'
import { sendRequest, type HttpCallResult } from './sendRequest'
import type { GatewayAddress, LoadContext } from './types'

/** A batch as returned by the routes. */
export interface Batch {
  id: string
  status: string
  output_file_id: string | null
  error_file_id: string | null
  request_counts: { total: number, completed: number, failed: number }
}

export const ITEM_PATH = '/v1/chat/completions'
const BOUNDARY = 'anvilarch-soak-boundary'

/**
 * @param context - of the load
 * @param gateway - to upload to
 * @param items - of the file
 * @returns the result of the call; `text` is the file object as JSON
 */
export async function uploadItems (context: LoadContext, gateway: GatewayAddress, items: readonly ItemSpec[]): Promise<HttpCallResult> {
  const lines = items.map(({ customId, body }) => JSON.stringify({ custom_id: customId, method: 'POST', url: ITEM_PATH, body }) + '\n').join('')
  const body = [
    `--${BOUNDARY}\r\ncontent-disposition: form-data; name="purpose"\r\n\r\nbatch\r\n`,
    `--${BOUNDARY}\r\ncontent-disposition: form-data; name="file"; filename="items.jsonl"\r\ncontent-type: application/jsonl\r\n\r\n`,
    lines,
    `\r\n--${BOUNDARY}--\r\n`
  ].join('')
  return await sendRequest(context, gateway, { method: 'POST', path: '/v1/files', headers: { 'content-type': `multipart/form-data; boundary=${BOUNDARY}` }, body })
}

/**
 * @param context - of the load
 * @param gateway - to call
 * @param fileId - of an uploaded file
 * @param key - `Idempotency-Key`, if any
 * @returns the response to the client
 */
export async function createBatch (context: LoadContext, gateway: GatewayAddress, fileId: string, key: string | undefined): Promise<JobResponse> {
  const result = await sendRequest(context, gateway, {
    method: 'POST',
    path: '/v1/batches',
    headers: { 'content-type': 'application/json', ...(key === undefined ? {} : { 'idempotency-key': key }) },
    body: JSON.stringify({ input_file_id: fileId, endpoint: ITEM_PATH, completion_window: '24h' })
  })
  return toJobResponse(gateway, result)
}

/**
 * @param context - of the load
 * @param gateway - to call
 * @param jobId - of the job
 * @returns the response to the client
 */
export async function cancelBatch (context: LoadContext, gateway: GatewayAddress, jobId: string): Promise<JobResponse> {
  return toJobResponse(gateway, await sendRequest(context, gateway, { method: 'POST', path: `/v1/batches/${jobId}/cancel` }))
}

/** @returns the batch, or undefined if the call failed */
export async function getBatch (context: LoadContext, gateway: GatewayAddress, jobId: string): Promise<Batch | undefined> {
  const { told, text } = await sendRequest(context, gateway, { method: 'GET', path: `/v1/batches/${jobId}` })
  return told === 'whole' ? JSON.parse(text) as Batch : undefined
}

/** @returns the lines of a file of results, or why they could not be read */
export async function readResultFile (context: LoadContext, gateway: GatewayAddress, fileId: string, kind: ResultLine['kind']): Promise<ResultLine[] | string> {
  const { told, status, text, code, detail } = await sendRequest(context, gateway, { method: 'GET', path: `/v1/files/${fileId}/content` })
  if (told !== 'whole') return `${fileId}: ${told} ${status} ${code} ${detail}`
  return text.split('\n').filter(line => line !== '').map(line => toResultLine(line, kind))
}

interface ResultFileLine {
  custom_id: string
  response: { body?: { choices?: Array<{ message?: { content?: string } }> } } | null
  error: { code?: string } | null
}

function toResultLine (line: string, kind: ResultLine['kind']): ResultLine {
  const shown = JSON.parse(line) as ResultFileLine
  return { customId: shown.custom_id, kind, text: shown.response?.body?.choices?.[0]?.message?.content, code: shown.error?.code }
}

function toJobResponse (gateway: GatewayAddress, { text, detail, ...result }: HttpCallResult): JobResponse {
  const jobId = result.told === 'whole' ? (JSON.parse(text) as { id: string }).id : undefined
  return { gateway: gateway.name, ...result, jobId }
}
