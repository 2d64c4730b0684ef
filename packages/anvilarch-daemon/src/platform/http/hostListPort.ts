/** The list of hosts over HTTP. */
import type { HostEntry, HostListPort } from 'anvilarch-protocol'
import type { HttpCaller } from './httpCaller'
import { parseJsonResponse } from './json'

/**
 * @param caller - calls the host list service
 * @returns the port
 */
export function createHostListPort (caller: HttpCaller): HostListPort {
  return {
    list: async signal => {
      const response = await caller.call({ operation: 'list', method: 'GET', path: '/hosts', accept: [200], signal })
      return parseJsonResponse<{ hosts: HostEntry[] }>(response, 'platform.hosts.list').hosts
    }
  }
}
