/** Adapters by kind of endpoint. */
import type { EndpointSettings } from 'anvilarch-configuration'
import { createModelAdapter } from './modelAdapter'
import { createPlainAdapter } from './plainAdapter'
import type { AdapterOptions, EndpointAdapter } from './types'

/** Creates the adapter for each kind of endpoint. */
export const ENDPOINT_ADAPTERS: Record<EndpointSettings['kind'], (options: AdapterOptions) => EndpointAdapter> = {
  model: createModelAdapter,
  plain: createPlainAdapter
}
