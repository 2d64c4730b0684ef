/** Exports of this slice for other slices. */
export { startCallersServer, type CallersDependencies } from './callersServer'
export { sendError } from './http/errorResponse'
export { sendJson } from './http/sendJson'
export { parseJsonObject, readBody } from './http/readBody'
export { bearerKeyOf, deadlineOf, idempotencyKeyOf, requestIdOf } from './http/requestHeaders'
export { requireConfiguration } from './requireConfiguration'
export type { CallerContext, CallersServer, Route, RouteMethod } from './types'
