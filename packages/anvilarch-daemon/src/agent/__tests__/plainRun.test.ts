import { createSystemClock } from 'anvilarch-utils'
import { type RawServer, startRawServer, WHOLE_ANSWER } from '../__fixtures__/rawServer'
import { createEndpointConnections } from '../endpoints/connections'
import { type PlainRunDeps, startPlainRun } from '../endpoints/plainRun'
import type { EndpointRun } from '../endpoints/types'

describe('startPlainRun', () => {
  let server: RawServer

  afterEach(async () => { await server.close() })

  // Guards against this: about one idempotent call in forty to a service that resets connections failed, though its second try would have been answered.
  it('is not given up by the judgement on its first try while the tick has sent it again', async () => {
    server = await startRawServer((socket, number) => {
      if (number === 0) socket.destroy()
      else setTimeout(() => { socket.write(WHOLE_ANSWER) }, 20)
    })
    const clock = createSystemClock()
    const connections = createEndpointConnections(server.url)
    const deps: PlainRunDeps = {
      connections,
      clock,
      basePath: '',
      silenceMs: 100,
      onUnreachable: () => {},
      judge: async () => {
        run.checkSilence(clock.nowMs() + 1000)
        return 'alive'
      }
    }
    const call = { method: 'GET', path: '/names/a', headers: {}, body: new Uint8Array(0) }
    const run: EndpointRun = startPlainRun(deps, { requestId: 'r', attemptId: 'a', workClass: 'lookup', idempotent: true, outputMode: 'raw', call }, {
      onHead: () => {}, onOutput: () => true, onToken: () => {}, onResumed: () => {}
    })
    expect(await run.done).toMatchObject({ outcome: 'completed', ran: 'ran' })
    expect(server.requests).toHaveLength(2)
    await connections.close()
  })
})
