/** Converts an item into a request for the request runner. */
import type { ConfigurationDocument } from 'anvilarch-configuration'
import type { WorkRequest } from '../attempts/types'
import { affinityKeyOf, completionFingerprint } from '../callers/completions/completionRequest'
import type { Item } from './itemLine'

/** Identity, target and deadline of one run of an item. */
export interface ItemRun {
  requestId: string
  caller: string
  target: BatchTarget
  deadlineMs: number
  /** Keys of the endpoints at which the item has failed; other endpoints are preferred. */
  avoid: ReadonlySet<string>
}

/** Service and model that run the items with a model name. */
export interface BatchTarget {
  service: string
  /** Name of the model in requests to the endpoint. */
  engineModel: string
}

/**
 * Resolves a model name in the same order as online requests: as a service, as a model, as an adapter.
 *
 * @param document - active configuration
 * @param name - model name of an item
 * @returns the service that accepts batch work for the name, and its model
 */
export function batchTargetOf (document: ConfigurationDocument, name: string): BatchTarget | undefined {
  const services = Object.entries(document.services).flatMap(([service, spec]) =>
    spec.kind === 'model' && spec.classes.includes('batch') ? [{ service, spec }] : [])
  const found = services.find(({ service }) => service === name) ??
    services.find(({ spec }) => spec.model === name) ??
    services.find(({ spec }) => spec.adapters.includes(name))
  if (found === undefined) return undefined
  return { service: found.service, engineModel: found.spec.adapters.includes(name) ? name : found.spec.model }
}

/**
 * @param item - item to run
 * @param run - identity, target and deadline of the run
 * @returns the request
 */
export function itemRequest (item: Item, run: ItemRun): WorkRequest {
  // The response to an item is a single JSON body, so the `stream` flag of the client is removed.
  const { stream, stream_options: streamOptions, ...body } = item.body
  const { service, engineModel } = run.target
  return {
    requestId: run.requestId,
    caller: run.caller,
    workClass: 'batch',
    service,
    call: {
      method: item.method,
      path: item.url,
      headers: { 'content-type': 'application/json', 'x-request-id': run.requestId },
      body: Buffer.from(JSON.stringify({ ...body, model: engineModel }))
    },
    outputMode: 'whole',
    idempotent: true,
    deadlineMs: run.deadlineMs,
    // The same content has the same fingerprint online and in a job, so that a quarantine applies to both.
    fingerprint: completionFingerprint(service, item.body),
    affinityKey: affinityKeyOf(item.body),
    avoid: run.avoid
  }
}
