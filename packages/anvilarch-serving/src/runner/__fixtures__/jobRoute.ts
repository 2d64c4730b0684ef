/** The configuration and the wire format for runners under test, with a single route for jobs. */
import type { Configuration, Route } from '../../model/types'
import type { PlatformWire } from '../../roles/types'

/**
 * @param service - service to which jobs are routed; undefined for a configuration without a route for jobs
 * @returns a configuration
 */
export function configurationWith (service: string | undefined): Configuration {
  const route = { name: 'jobs', host: 'h', pathPrefix: '/jobs', kind: 'batch', targets: [{ service, weight: 1 }] } as unknown as Route
  return { version: 1, routes: service === undefined ? [] : [route], services: new Map() } as unknown as Configuration
}

/** The configuration that routes jobs to the engines of a test. */
export const CONFIGURATION = configurationWith('models')

/** Wire format whose headers name the item and the event after which a run continues. */
export const WIRE = {
  request: { decodeResponse: (headers: ReadonlyMap<string, string>) => ({ requestId: headers.get('x-id'), signed: true, notRun: false }) },
  engine: { encodeItem: (item: { id: string }, _host: string, terms: { lastEventId?: number }) => ['x-id', item.id, 'x-after', String(terms.lastEventId ?? 0)] }
} as unknown as PlatformWire
