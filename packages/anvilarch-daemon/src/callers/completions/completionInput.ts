/** Validates the body of a completion request and selects its service. */
import { type ConfigurationDocument, type ModelService, suggestNames } from 'anvilarch-configuration'
import { AnvilarchError } from 'anvilarch-utils'

/** Kinds of completion routes. */
export type CompletionKind = 'chat' | 'text'

/** A validated request. */
export interface CompletionInput {
  service: string
  spec: ModelService
  stream: boolean
  /** Name of the model or adapter at the engine. */
  engineModel: string
}

const STEP = 'callers.check_completion'

const CHECK_PROMPT: Record<CompletionKind, (body: Record<string, unknown>) => void> = {
  chat: checkMessages,
  text: body => {
    if (typeof body['prompt'] === 'string' && body['prompt'] !== '') return
    if (Array.isArray(body['prompt']) && body['prompt'].length > 0) return
    throw badRequest(`field "prompt" must be a text that is not empty; found ${describe(body['prompt'])}`)
  }
}

/**
 * @param kind - kind of the route
 * @param body - parsed body
 * @param document - the configuration in force
 * @returns the validated request
 * @throws AnvilarchError that names the field, the value found and the expected one
 */
export function checkCompletion (kind: CompletionKind, body: Record<string, unknown>, document: ConfigurationDocument): CompletionInput {
  const { model, stream } = body
  if (typeof model !== 'string' || model === '') throw badRequest(`field "model" must name a service or a model; found ${describe(model)}`)
  if (stream !== undefined && stream !== null && typeof stream !== 'boolean') throw badRequest(`field "stream" must be true or false; found ${describe(stream)}`)
  CHECK_PROMPT[kind](body)
  const { service, spec } = findService(model, document)
  return { service, spec, stream: stream === true, engineModel: spec.adapters.includes(model) ? model : spec.model }
}

function checkMessages (body: Record<string, unknown>): void {
  const { messages } = body
  if (!Array.isArray(messages) || messages.length === 0) {
    throw badRequest(`field "messages" must be a list with at least one message; found ${describe(messages)}`)
  }
  messages.forEach((message: unknown, index) => {
    const role = (message as { role?: unknown } | null)?.role
    if (typeof role !== 'string') throw badRequest(`field "messages[${index}].role" must be a text; found ${describe(role)}`)
  })
}

/** Looks up a name as a service first, then as a model, then as an adapter of a service. */
function findService (name: string, document: ConfigurationDocument): { service: string, spec: ModelService } {
  const online = onlineServices(document)
  const found = online.find(({ service }) => service === name) ??
    online.find(({ spec }) => spec.model === name) ??
    online.find(({ spec }) => spec.adapters.includes(name))
  if (found !== undefined) return found
  if (document.services[name]?.kind === 'model') throw badRequest(`service "${name}" takes no online requests`)
  const known = modelNames(document)
  const close = suggestNames(name, known)
  const hint = close.length > 0 ? `; did you mean "${close[0]}"?` : `; known are ${known.map(each => `"${each}"`).join(', ')}`
  throw new AnvilarchError(`model "${name}" is not known here${hint}`, { code: 'not_found', step: STEP })
}

/**
 * @param document - the configuration in force
 * @returns the model services that accept online requests
 */
export function onlineServices (document: ConfigurationDocument): Array<{ service: string, spec: ModelService }> {
  return Object.entries(document.services).flatMap(([service, spec]) =>
    spec.kind === 'model' && spec.classes.includes('online') ? [{ service, spec }] : [])
}

/**
 * @param document - the configuration in force
 * @returns all valid values of the field `model`, services first
 */
export function modelNames (document: ConfigurationDocument): string[] {
  const online = onlineServices(document)
  return [...new Set([
    ...online.map(({ service }) => service),
    ...online.map(({ spec }) => spec.model),
    ...online.flatMap(({ spec }) => spec.adapters)
  ])]
}

function badRequest (message: string): AnvilarchError {
  return new AnvilarchError(message, { code: 'bad_request', step: STEP })
}

function describe (value: unknown): string {
  if (value === undefined) return 'nothing'
  const text = JSON.stringify(value)
  return text.length > 64 ? `${text.slice(0, 64)}...` : text
}
