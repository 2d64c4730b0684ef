import type { Configuration, Route } from '../../model/types'
import { chooseService, matchRoute } from '../matchRoute'

function route (name: string, host: string, pathPrefix: string): Route {
  return {
    name, host, pathPrefix, kind: 'idempotent', targets: [], timeoutMs: 1, latencyObjectiveMs: 1, gapObjectiveMs: 0, priority: 0, maxAttempts: 1, resumable: false, jobDueMs: 0, jobExpiryMs: 0, waitingTokenLimit: 0
  }
}

const CONFIGURATION: Configuration = {
  version: 1,
  routes: [route('a', 'x.example', '/a/'), route('ab', 'x.example', '/a/b/'), route('other', 'y.example', '/a/')],
  services: new Map(),
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
}

describe('matchRoute', () => {
  it.each([
    ['x.example', '/a/c', 'a'],
    ['x.example', '/a/b/c?d=/a/', 'ab'],
    ['X.EXAMPLE:8080', '/a/b/', 'ab'],
    ['y.example', '/a/b/c', 'other'],
    ['x.example', '/a', undefined],
    ['z.example', '/a/', undefined]
  ])('selects the longest matching prefix of the host (%s%s)', (host, path, name) => {
    expect(matchRoute(CONFIGURATION, host, path)?.name).toBe(name)
  })
})

describe('chooseService', () => {
  it('selects services in proportion to their weights', () => {
    const targets = [{ service: 'a', weight: 90 }, { service: 'b', weight: 0 }, { service: 'c', weight: 10 }]
    expect([0, 0.89, 0.91, 0.999].map(randomValue => chooseService(targets, randomValue))).toEqual(['a', 'a', 'c', 'c'])
  })

  it('selects nothing if no target has a weight', () => {
    expect(chooseService([{ service: 'a', weight: 0 }], 0)).toBeUndefined()
  })
})
