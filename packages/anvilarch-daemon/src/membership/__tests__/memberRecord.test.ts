import type { ExchangeResponse } from 'anvilarch-protocol'
import { hostEntry } from '../__fixtures__/fakeAgents'
import { afterExchangeResponse, afterExchangeSent, afterDraining, afterEndpointDown, afterIncarnation, afterHostList, afterExchangeFailure, afterUnreachable, type MemberRecord, newMember } from '../memberRecord'

function response (incarnation: string, state = 'serving'): ExchangeResponse {
  const endpoints = [{ endpoint: 'engine-1', kind: 'model', health: 'ready', models: [] }]
  return { agent: 'agent-1', agentIncarnation: incarnation, configurationVersion: 1n, state, endpoints } as unknown as ExchangeResponse
}

function serving (): MemberRecord {
  return afterExchangeResponse(afterExchangeSent(newMember(hostEntry('a:1'), 0), 10), response('first'), 20)
}

describe('afterExchangeResponse', () => {
  // Guards against requests that are sent to a replaced agent, which rejects each of them.
  it('does not restore an incarnation that was found replaced after the exchange was sent', () => {
    const sent = afterExchangeSent(serving(), 100)
    const replaced = afterIncarnation(sent, 'second', 110)
    const late = afterExchangeResponse(replaced, response('first'), 120)
    expect(late.view).toMatchObject({ incarnation: 'second', state: 'unreachable', endpoints: [] })
    const current = afterExchangeResponse(afterExchangeSent(late, 130), response('second'), 140)
    expect(current.view).toMatchObject({ incarnation: 'second', state: 'serving' })
  })

  // Guards against successive requests that fail on a crashed endpoint.
  it('keeps an endpoint out of use until a later exchange reports it as ready', () => {
    const down = afterEndpointDown(afterExchangeSent(serving(), 100), 'engine-1', 110)
    expect(down.view.endpoints[0].health).toBe('crashed')
    const late = afterExchangeResponse(down, response('first'), 120)
    expect(late.view.endpoints[0].health).toBe('crashed')
    expect(afterExchangeResponse(afterExchangeSent(late, 130), response('first'), 140).view.endpoints[0].health).toBe('ready')
  })

  // Guards against a draining agent that gets new work again.
  it('never returns a draining incarnation to service, only its successor', () => {
    const drained = afterDraining(afterExchangeSent(serving(), 100))
    const late = afterExchangeResponse(drained, response('first'), 120)
    expect(late.view.state).toBe('draining')
    expect(afterExchangeResponse(afterExchangeSent(late, 130), response('second'), 140).view.state).toBe('serving')
  })
})

describe('afterHostList', () => {
  it('takes a leaving host out of use, but not an absent one', () => {
    expect(afterHostList(serving(), 'leaving', 30).view.state).toBe('draining')
    expect(afterHostList(serving(), 'absent', 30).view.state).toBe('serving')
    expect(afterHostList(afterHostList(serving(), 'leaving', 30), 'live', 40).view.state).toBe('serving')
  })
})

describe('afterExchangeFailure', () => {
  it('takes an agent out of use after two failed exchanges, and immediately when an attempt could not reach it', () => {
    const once = afterExchangeFailure(serving())
    expect(once.view.state).toBe('serving')
    expect(afterExchangeFailure(once).view.state).toBe('unreachable')
    expect(afterUnreachable(serving()).view.state).toBe('unreachable')
    expect(afterExchangeResponse(afterExchangeSent(afterExchangeFailure(afterExchangeFailure(serving())), 50), response('first'), 60).view.state).toBe('serving')
  })
})
