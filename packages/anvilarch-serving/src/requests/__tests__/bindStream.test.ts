import { SILENT_LOGGER } from 'anvilarch-utils'
import type { OriginResolution } from '../../streams/streamOrigins'
import { bindStream, resumesStream, streamIdOf } from '../bindStream'
import type { ClientRequest, ForwardParts, RequestState } from '../forwardTypes'

function clientOf (lastEventId: number | undefined, resumesRequestId?: string): ClientRequest {
  const targets = [{ service: 's', weight: 1 }, { service: 't', weight: 1 }, { service: 'old', weight: 0 }]
  return { route: { kind: 'stream', targets }, metadata: { requestId: 'r2', lastEventId, resumesRequestId } } as unknown as ClientRequest
}

async function bind (resolution: OriginResolution): Promise<{ code: string | undefined, state: Pick<RequestState, 'service' | 'origin'> }> {
  const parts = { log: SILENT_LOGGER, streamOrigins: { resolve: async () => resolution } } as unknown as ForwardParts
  const state = { service: 's', origin: undefined } as unknown as RequestState
  const refusal = await bindStream(parts, clientOf(3, 'r1'), state)
  return { code: refusal?.code, state: { service: state.service, origin: state.origin } }
}

describe('the binding of a resumed stream', () => {
  it('is to the service that began it, even if the route would choose another one', async () => {
    const origin = { service: 't', softwareVersion: 'v1' }
    expect(await bind({ resolution: 'bound', origin })).toEqual({ code: undefined, state: { service: 't', origin } })
  })

  it('refuses a stream whose service the route no longer uses', async () => {
    const { code, state } = await bind({ resolution: 'bound', origin: { service: 'old', softwareVersion: 'v1' } })
    expect([code, state.origin]).toEqual(['service_not_routed', undefined])
  })

  it('refuses a stream whose origin is unknown', async () => {
    expect((await bind({ resolution: 'unknown' })).code).toBe('origin_unknown')
  })

  it('is to the only version of the chosen service', async () => {
    const { code, state } = await bind({ resolution: 'single', versions: new Map([['s', 'v2'], ['t', 'v3']]) })
    expect([code, state.origin]).toEqual([undefined, { service: 's', softwareVersion: 'v2' }])
  })
})

describe('the id of a stream', () => {
  it('is that of the attempt that began it', () => {
    expect([streamIdOf(clientOf(undefined)), streamIdOf(clientOf(3, 'r1')), streamIdOf(clientOf(3))]).toEqual(['r2', 'r1', 'r2'])
    expect([resumesStream(clientOf(0)), resumesStream(clientOf(3))]).toEqual([false, true])
  })
})
