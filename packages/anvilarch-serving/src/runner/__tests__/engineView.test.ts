import { SILENT_LOGGER } from 'anvilarch-utils'
import { type Endpoint, startIdOf } from '../../model/types'
import { createEngineView, type EngineView } from '../engineView'

let listed: Endpoint | undefined
let restarts: number
let view: EngineView

function endpoint (bornAtMs: number | undefined): Endpoint {
  return { id: 'e1', startId: startIdOf('e1', bornAtMs), bornAtMs, service: 's', address: '10.0.0.1:80', failureDomain: 'a', softwareVersion: 'v1', slots: 8, state: 'ready', coldLeftMs: 0, listedVersion: 1 }
}

beforeEach(() => {
  listed = endpoint(1000)
  restarts = 0
  view = createEngineView({ log: SILENT_LOGGER, listed: () => listed, onRestart: () => { restarts++ } })
})

describe('createEngineView', () => {
  // Guards against items being sent to a restarted engine because of the entry of its previous start.
  it('has no engine between a restart and the listing of the new start', () => {
    expect(view.update({ running: 0, waiting: 0, bornAtMs: 1000 })).toBe(listed)
    expect(view.update({ running: 0, waiting: 0, bornAtMs: 2000 })).toBeUndefined()
    expect(view.current()).toBeUndefined()
    listed = endpoint(2000)
    expect(view.update({ running: 0, waiting: 0, bornAtMs: 2000 })).toBe(listed)
    expect(restarts).toBe(1)
  })

  it('uses the list where engines do not report when they were started', () => {
    listed = endpoint(undefined)
    expect(view.update({ running: 0, waiting: 0, bornAtMs: undefined })).toBe(listed)
    listed = { ...endpoint(undefined), id: 'e2', startId: 'e2' }
    expect(view.update({ running: 0, waiting: 0, bornAtMs: undefined })).toBe(listed)
    expect(restarts).toBe(1)
  })

  it('detects no restart when an engine does not respond for a while', () => {
    view.update({ running: 0, waiting: 0, bornAtMs: 1000 })
    view.update(undefined)
    listed = undefined
    view.update(undefined)
    listed = endpoint(1000)
    view.update({ running: 0, waiting: 0, bornAtMs: 1000 })
    expect(restarts).toBe(0)
  })

  it('reports that another service uses the address of the engine', () => {
    const warn = jest.fn()
    view = createEngineView({ log: { ...SILENT_LOGGER, warn }, listed: () => listed, onRestart: () => {} })
    view.update(undefined)
    view.update(undefined)
    expect(warn).not.toHaveBeenCalled()
    listed = { ...endpoint(2000), service: 'other' }
    view.update(undefined)
    view.update(undefined)
    expect(warn.mock.calls).toEqual([['engine serves another service', { endpoint: 'e1@2000', service: 'other', formerService: 's' }]])
  })
})
