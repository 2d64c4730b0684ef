/** The configuration and the wire of runners under test: one route of jobs. */
import type { Configuration, Route } from '../../model/types'
import type { PlatformWire } from '../../roles/types'

const ROUTE = { name: 'jobs', host: 'h', pathPrefix: '/jobs', kind: 'batch', targets: [{ service: 'models', weight: 1 }] } as unknown as Route

/** What is in force. */
export const CONFIGURATION = { version: 1, routes: [ROUTE], services: new Map() } as unknown as Configuration

/** Headers that name the item and the event after which a run goes on. */
export const WIRE = {
  request: { decodeResponse: (headers: ReadonlyMap<string, string>) => ({ requestId: headers.get('x-id'), signed: true, notRun: false }) },
  engine: { encodeItem: (item: { id: string }, _host: string, terms: { lastEventId?: number }) => ['x-id', item.id, 'x-after', String(terms.lastEventId ?? 0)] }
} as unknown as PlatformWire
