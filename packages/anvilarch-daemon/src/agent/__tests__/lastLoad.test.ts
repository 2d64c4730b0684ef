import type { OrderRequest } from 'anvilarch-protocol'
import { TEST_DOCUMENT } from '../__fixtures__/agentHarness'
import type { LoadedModelState } from '../endpoints/types'
import { afterOrder, isReloadDue, type LastLoad } from '../lastLoad'

const order = (action: string, fields: Partial<OrderRequest> = {}): OrderRequest =>
  ({ action, service: 'assistant', model: 'small', version: '1', adapters: ['notes'], fencingToken: 5n, ...fields }) as OrderRequest

const loaded: LoadedModelState = { model: 'small', version: '1', adapters: [], state: 'loading' }
const restarted = { isUp: true, incarnation: 'second', models: [] as LoadedModelState[] }
const last = afterOrder(undefined, order('load'), 'first') as LastLoad

describe('the last load of an endpoint', () => {
  it('has the model of the last load order', () => {
    expect(last).toEqual({ service: 'assistant', model: 'small', version: '1', adapters: ['notes'], fencingToken: 5, incarnation: 'first' })
    expect(afterOrder(last, order('load', { version: '2', fencingToken: 6n }), 'first')).toMatchObject({ version: '2', fencingToken: 6 })
    expect(afterOrder(last, order('unload', { version: '0' }), 'first')).toEqual(last)
    expect(afterOrder(last, order('assign', { service: 'other', fencingToken: 6n }), 'first')).toEqual({ ...last, service: 'other' })
  })

  // Guards against an endpoint reloading a model that was removed from it.
  it('is undefined once the model is unloaded or the endpoint is released', () => {
    expect(afterOrder(last, order('unload'), 'first')).toBeUndefined()
    expect(afterOrder(last, order('assign', { service: '' }), 'first')).toBeUndefined()
  })

  it('is due only at a restarted process that lacks the model', () => {
    expect(isReloadDue(last, restarted, TEST_DOCUMENT)).toBe(true)
    expect(isReloadDue(undefined, restarted, TEST_DOCUMENT)).toBe(false)
    expect(isReloadDue(last, { ...restarted, isUp: false }, TEST_DOCUMENT)).toBe(false)
    expect(isReloadDue(last, { ...restarted, incarnation: 'first' }, TEST_DOCUMENT)).toBe(false)
    expect(isReloadDue(last, { ...restarted, models: [loaded] }, TEST_DOCUMENT)).toBe(false)
  })

  // Guards against an endpoint loading a model that its service no longer runs.
  it('is not due when the configuration has another model or version for its service, or no such service', () => {
    const assistant = (fields: object): typeof TEST_DOCUMENT =>
      ({ ...TEST_DOCUMENT, services: { ...TEST_DOCUMENT.services, assistant: { ...TEST_DOCUMENT.services.assistant, ...fields } } }) as typeof TEST_DOCUMENT
    expect(isReloadDue(last, restarted, assistant({ version: '2' }))).toBe(false)
    expect(isReloadDue(last, restarted, assistant({ model: 'large' }))).toBe(false)
    expect(isReloadDue({ ...last, service: 'gone' }, restarted, TEST_DOCUMENT)).toBe(false)
    expect(isReloadDue(last, restarted, undefined)).toBe(false)
  })
})
