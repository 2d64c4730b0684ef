import type { ExchangeResponse } from 'anvilarch-protocol'
import { hostEntry } from '../__fixtures__/fakeAgents'
import { afterAnswered, afterAsked, afterDraining, afterEndpointDown, afterIncarnation, afterListed, afterMissed, afterUnreachable, type MemberRecord, newMember } from '../memberRecord'

function response (incarnation: string, state = 'serving'): ExchangeResponse {
  const endpoints = [{ endpoint: 'engine-1', kind: 'model', health: 'ready', models: [] }]
  return { agent: 'agent-1', agentIncarnation: incarnation, configurationVersion: 1n, state, endpoints } as unknown as ExchangeResponse
}

function serving (): MemberRecord {
  return afterAnswered(afterAsked(newMember(hostEntry('a:1'), 0), 10), response('first'), 20)
}

describe('afterAnswered', () => {
  // Guards against requests that are sent to a replaced agent, which rejects each of them.
  it('does not restore an incarnation that was found replaced after the exchange was sent', () => {
    const asked = afterAsked(serving(), 100)
    const met = afterIncarnation(asked, 'second', 110)
    const late = afterAnswered(met, response('first'), 120)
    expect(late.view).toMatchObject({ incarnation: 'second', state: 'unreachable', endpoints: [] })
    const current = afterAnswered(afterAsked(late, 130), response('second'), 140)
    expect(current.view).toMatchObject({ incarnation: 'second', state: 'serving' })
  })

  // Guards against successive requests that fail on a crashed endpoint.
  it('keeps an endpoint out of use until a later exchange reports it as ready', () => {
    const down = afterEndpointDown(afterAsked(serving(), 100), 'engine-1', 110)
    expect(down.view.endpoints[0].health).toBe('crashed')
    const late = afterAnswered(down, response('first'), 120)
    expect(late.view.endpoints[0].health).toBe('crashed')
    expect(afterAnswered(afterAsked(late, 130), response('first'), 140).view.endpoints[0].health).toBe('ready')
  })

  // Guards against a draining agent that gets new work again.
  it('never returns a draining incarnation to service, only its successor', () => {
    const drained = afterDraining(afterAsked(serving(), 100))
    const late = afterAnswered(drained, response('first'), 120)
    expect(late.view.state).toBe('draining')
    expect(afterAnswered(afterAsked(late, 130), response('second'), 140).view.state).toBe('serving')
  })
})

describe('afterListed', () => {
  it('takes a leaving host out of use, but not an absent one', () => {
    expect(afterListed(serving(), 'leaving', 30).view.state).toBe('draining')
    expect(afterListed(serving(), 'absent', 30).view.state).toBe('serving')
    expect(afterListed(afterListed(serving(), 'leaving', 30), 'live', 40).view.state).toBe('serving')
  })
})

describe('afterMissed', () => {
  it('takes an agent out of use after two failed exchanges, and immediately when an attempt could not reach it', () => {
    const once = afterMissed(serving())
    expect(once.view.state).toBe('serving')
    expect(afterMissed(once).view.state).toBe('unreachable')
    expect(afterUnreachable(serving()).view.state).toBe('unreachable')
    expect(afterAnswered(afterAsked(afterMissed(afterMissed(serving())), 50), response('first'), 60).view.state).toBe('serving')
  })
})
