/** The `http` adapter, which calls the platform's services over HTTP with JSON. */
import { createHttpCaller } from './httpCaller'
import { createHostListPort } from './hostListPort'
import { createObjectPort } from './objectPort'
import { createTablePort } from './tablePort'
import type { Platform, PlatformOptions } from '../createPlatform'

/**
 * @param options - addresses, timeout, clock and metrics
 * @returns ports with a common timeout and error reporting
 */
export function createHttpPlatform (options: PlatformOptions): Platform {
  const { settings, clock, metrics } = options
  const forService = (service: string, baseUrl: string): ReturnType<typeof createHttpCaller> =>
    createHttpCaller({ service, baseUrl, timeoutMs: settings.timeoutMs, clock, metrics })
  const table = forService('table', settings.tableUrl)
  const objects = forService('objects', settings.objectsUrl)
  const hosts = forService('hosts', settings.hostsUrl)
  return {
    table: createTablePort(table),
    objects: createObjectPort(objects),
    hosts: createHostListPort(hosts),
    close: async () => {
      await Promise.all([table.close(), objects.close(), hosts.close()])
    }
  }
}
