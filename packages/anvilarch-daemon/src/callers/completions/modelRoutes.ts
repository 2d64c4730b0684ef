/** The model routes of the OpenAI-style API, which list the valid values of the field `model`. */
import { type ConfigurationDocument, suggestNames } from 'anvilarch-configuration'
import { AnvilarchError } from 'anvilarch-utils'
import { sendJson } from '../http/sendJson'
import type { RouteDeps } from '../routeDeps'
import { requireConfiguration } from '../requireConfiguration'
import type { Route } from '../types'
import { modelNames } from './completionInput'

/**
 * @param parts - dependencies of the routes
 * @returns the routes
 */
export function createModelRoutes (parts: RouteDeps): Route[] {
  return [
    {
      method: 'GET',
      path: '/v1/models',
      handle: async ({ response }) => {
        const { document } = requireConfiguration(parts.context)
        sendJson(response, 200, { object: 'list', data: modelNames(document).map(toModel) })
      }
    },
    {
      method: 'GET',
      path: '/v1/models/:id',
      handle: async ({ response, params }) => {
        const { document } = requireConfiguration(parts.context)
        sendJson(response, 200, findModel(params['id'], document))
      }
    }
  ]
}

function findModel (id: string, document: ConfigurationDocument): ReturnType<typeof toModel> {
  const known = modelNames(document)
  if (known.includes(id)) return toModel(id)
  const close = suggestNames(id, known)
  const hint = close.length > 0 ? `; did you mean "${close[0]}"?` : ''
  throw new AnvilarchError(`model "${id}" is not known here${hint}`, { code: 'not_found', step: 'callers.models' })
}

function toModel (id: string) {
  return { id, object: 'model', created: 0, owned_by: 'anvilarch' }
}
