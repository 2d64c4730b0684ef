/** The object store over HTTP. */
import type { ObjectPort } from 'anvilarch-protocol'
import type { HttpCaller } from './httpCaller'
import { parseJsonResponse } from './json'

const STATUS_CREATED = 201
const STATUS_PARTIAL_CONTENT = 206
const STATUS_NOT_FOUND = 404

/**
 * @param caller - calls the object store
 * @returns the port
 */
export function createObjectPort (caller: HttpCaller): ObjectPort {
  return {
    putIfAbsent: async (name, body, signal) => {
      const response = await caller.call({ operation: 'put', method: 'PUT', path: objectPath(name), body, accept: [200, STATUS_CREATED], signal })
      return response.status === STATUS_CREATED ? 'created' : 'exists'
    },
    get: async (name, range, signal) => {
      const rangeOptions = range === undefined
        ? { accept: [200, STATUS_NOT_FOUND] }
        : { accept: [STATUS_PARTIAL_CONTENT, STATUS_NOT_FOUND], headers: { range: `bytes=${range.fromByte}-${range.toByte}` } }
      const response = await caller.call({ operation: 'get', method: 'GET', path: objectPath(name), ...rangeOptions, signal })
      return response.status === STATUS_NOT_FOUND ? null : response.body
    },
    list: async (prefix, options, signal) => {
      const query = new URLSearchParams({ prefix, limit: String(options.limit) })
      if (options.after !== undefined) query.set('after', options.after)
      const response = await caller.call({ operation: 'list', method: 'GET', path: `/list?${query.toString()}`, accept: [200], signal })
      return parseJsonResponse(response, 'platform.objects.list')
    },
    remove: async (name, signal) => {
      await caller.call({ operation: 'remove', method: 'DELETE', path: objectPath(name), accept: [200, 204, STATUS_NOT_FOUND], signal })
    }
  }
}

function objectPath (name: string): string {
  return '/objects/' + name.split('/').map(encodeURIComponent).join('/')
}
