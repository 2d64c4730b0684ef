/** Schema of the configuration document. The compiler checks that it matches the types in `types.ts`. */
import { z } from 'zod'
import { DEFAULT_BATCH_POLICY, DEFAULT_CALLER_LIMITS, DEFAULT_LIMITS, DEFAULT_MODEL_SERVICE, DEFAULT_ROUTE_TIMEOUT_MS } from './defaults'
import { flag, listOf, name, namedMap, numberBetween, oneOf, strictShape, wholeNumber } from './fieldSchemas'
import type { AssertTrue, SameKeys } from './schemaTypes'
import type { BatchPolicy, CallerLimits, ConfigurationDocument, ModelService, ModelSpec, PlainRoute, PlainService } from './types'

/** HTTP methods that a plain route may have. */
export const PLAIN_METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'] as const

const MAX_PERCENT = 100
const ROUTE_PATH_PATTERN = /^(\/(:[A-Za-z][A-Za-z0-9_]*|[A-Za-z0-9._~-]+))*(\/\*|\/)?$/
const ROUTE_PATH_EXPECTED = 'a path such as "/names/:name" or "/files/*"'
const KEY_HASH_EXPECTED = 'the SHA-256 of the bearer key as 64 lower-case hex digits'

const modelSchema = strictShape({
  versions: namedMap(strictShape({ sizeBytes: wholeNumber(1) }), 'versions'),
  adapters: listOf(name(), 'adapter names').default([])
}) satisfies z.ZodType<ModelSpec>

const batchPolicySchema = strictShape({
  firstTokenTargetMs: wholeNumber(1).default(DEFAULT_BATCH_POLICY.firstTokenTargetMs),
  interTokenTargetMs: numberBetween(0.1, 60_000).default(DEFAULT_BATCH_POLICY.interTokenTargetMs),
  slackSharePercent: numberBetween(0, MAX_PERCENT).default(DEFAULT_BATCH_POLICY.slackSharePercent)
}) satisfies z.ZodType<BatchPolicy>

const modelServiceSchema = strictShape({
  kind: z.literal('model'),
  model: name(),
  version: name(),
  adapters: listOf(name(), 'adapter names').default(DEFAULT_MODEL_SERVICE.adapters),
  replicas: wholeNumber(1),
  classes: listOf(oneOf(['online', 'batch']), 'classes of work').min(1, { error: 'at least one class of work' }).default(DEFAULT_MODEL_SERVICE.classes),
  failureDomains: listOf(name(), 'failure domains').default(DEFAULT_MODEL_SERVICE.failureDomains),
  timeoutMs: wholeNumber(1).default(DEFAULT_MODEL_SERVICE.timeoutMs),
  batch: batchPolicySchema.prefault({})
}) satisfies z.ZodType<ModelService>

const routeSchema = strictShape({
  method: oneOf(PLAIN_METHODS),
  path: z.string({ error: ROUTE_PATH_EXPECTED }).min(1, { error: ROUTE_PATH_EXPECTED }).regex(ROUTE_PATH_PATTERN, { error: ROUTE_PATH_EXPECTED }),
  // No default: a wrong one would retry calls that must not be retried, or fail calls that could be retried.
  idempotent: flag(),
  timeoutMs: wholeNumber(1).default(DEFAULT_ROUTE_TIMEOUT_MS)
}) satisfies z.ZodType<PlainRoute>

const plainServiceSchema = strictShape({
  kind: z.literal('plain'),
  replicas: wholeNumber(1),
  routes: listOf(routeSchema, 'routes').min(1, { error: 'at least one route' })
}) satisfies z.ZodType<PlainService>

const serviceSchema = z.discriminatedUnion('kind', [modelServiceSchema, plainServiceSchema], {
  error: issue => issue.code === 'invalid_union' ? 'one of "model", "plain"' : 'an object with the key kind'
})

const callerLimitFields = {
  requestsPerSecond: numberBetween(0.001, 1_000_000),
  burst: wholeNumber(1),
  maxConcurrent: wholeNumber(1),
  maxActiveJobs: wholeNumber(0)
}

const defaultCallerSchema = strictShape({
  requestsPerSecond: callerLimitFields.requestsPerSecond.default(DEFAULT_CALLER_LIMITS.requestsPerSecond),
  burst: callerLimitFields.burst.default(DEFAULT_CALLER_LIMITS.burst),
  maxConcurrent: callerLimitFields.maxConcurrent.default(DEFAULT_CALLER_LIMITS.maxConcurrent),
  maxActiveJobs: callerLimitFields.maxActiveJobs.default(DEFAULT_CALLER_LIMITS.maxActiveJobs)
}) satisfies z.ZodType<CallerLimits>

const namedCallerSchema = strictShape({
  keySha256: z.string({ error: KEY_HASH_EXPECTED }).regex(/^[0-9a-f]{64}$/, { error: KEY_HASH_EXPECTED }).optional(),
  requestsPerSecond: callerLimitFields.requestsPerSecond.optional(),
  burst: callerLimitFields.burst.optional(),
  maxConcurrent: callerLimitFields.maxConcurrent.optional(),
  maxActiveJobs: callerLimitFields.maxActiveJobs.optional()
}) satisfies z.ZodType<Partial<CallerLimits>>

const limitsSchema = strictShape({
  maxBodyBytes: wholeNumber(1).default(DEFAULT_LIMITS.maxBodyBytes),
  maxFileBytes: wholeNumber(1).default(DEFAULT_LIMITS.maxFileBytes),
  maxItemBytes: wholeNumber(1).default(DEFAULT_LIMITS.maxItemBytes),
  maxItemAttempts: wholeNumber(1, 100).default(DEFAULT_LIMITS.maxItemAttempts),
  maxConcurrentLoads: wholeNumber(1).default(DEFAULT_LIMITS.maxConcurrentLoads),
  resultRetentionHours: wholeNumber(1).default(DEFAULT_LIMITS.resultRetentionHours)
}) satisfies z.ZodType<ConfigurationDocument['limits']>

const regionSchema = strictShape({
  failureDomains: listOf(name(), 'failure domains').min(1, { error: 'at least one failure domain' })
})

const documentShape = strictShape({
  formatVersion: z.literal(1, { error: '1' }),
  regions: namedMap(regionSchema, 'regions'),
  models: namedMap(modelSchema, 'models').default({}),
  services: namedMap(serviceSchema, 'services'),
  defaultCaller: defaultCallerSchema.prefault({}),
  callers: namedMap(namedCallerSchema, 'callers').default({}),
  limits: limitsSchema.prefault({})
})

/** Fills in the limits of `defaultCaller` that a caller does not set. */
function fillCallers (parsed: z.output<typeof documentShape>): ConfigurationDocument {
  const callers = Object.entries(parsed.callers).map(([caller, limits]) => [caller, { ...parsed.defaultCaller, ...limits }])
  return { ...parsed, callers: Object.fromEntries(callers) }
}

/** Schema of the whole document; its output has all defaults filled in. */
export const documentSchema = documentShape.transform(fillCallers)

/** Fails to compile if a schema and its type in `types.ts` differ in a required or optional key. */
export type DocumentSchemaKeysMatch = [
  AssertTrue<SameKeys<z.output<typeof documentShape>, ConfigurationDocument>>,
  AssertTrue<SameKeys<z.output<typeof modelSchema>, ModelSpec>>,
  AssertTrue<SameKeys<z.output<typeof modelServiceSchema>, ModelService>>,
  AssertTrue<SameKeys<z.output<typeof plainServiceSchema>, PlainService>>,
  AssertTrue<SameKeys<z.output<typeof routeSchema>, PlainRoute>>,
  AssertTrue<SameKeys<z.output<typeof namedCallerSchema>, CallerLimits>>,
  AssertTrue<SameKeys<z.output<typeof limitsSchema>, ConfigurationDocument['limits']>>
]
