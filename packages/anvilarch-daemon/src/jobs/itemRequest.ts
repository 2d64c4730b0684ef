/** Turns an item into a request for the attempts slice. */
import type { ConfigurationDocument } from 'anvilarch-configuration'
import type { WorkRequest } from '../attempts/types'
import { affinityKeyOf, completionFingerprint } from '../callers/completions/completionRequest'
import type { Item } from './itemLine'

/** Names the run of an item. */
export interface ItemRun {
  requestId: string
  caller: string
  target: BatchTarget
  deadlineMs: number
  /** Keys of endpoints that have failed the item. */
  avoid: ReadonlySet<string>
}

/** Where the items that name a model go. */
export interface BatchTarget {
  service: string
  /** The name that the engine knows the model by. */
  engineModel: string
}

/**
 * Names are looked up as for online requests: as a service first, then as a model, then as an adapter.
 *
 * @param document - the configuration in force
 * @param name - of a model, as an item has it
 * @returns the service that takes batch work for it
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
 * @param item - to run
 * @param run - its identity, target and deadline
 * @returns the request
 */
export function itemRequest (item: Item, run: ItemRun): WorkRequest {
  // The answer of an item is one JSON body, so that a client's `stream` flag has no meaning here.
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
    // The same content has the same fingerprint online and in a job, so that a quarantine holds for both.
    fingerprint: completionFingerprint(service, item.body),
    affinityKey: affinityKeyOf(item.body),
    avoid: run.avoid
  }
}
