import type { AttemptFrame, StartAttemptRequest } from 'anvilarch-protocol'
import { createFakeClock } from 'anvilarch-utils'
import { chatEvents } from '../__fixtures__/fakeAgent'
import { startTestGateway, type TestGateway } from '../__fixtures__/testGateway'
import { type AttemptReader, createAttemptReader } from '../attemptReader'
import type { RequestEvent } from '../machine/types'

// Guards against a streamed response that ends early or is refused with 503 under load, although its agent had sent all of it: the
// gateway took a pause of its own process for inactivity of the stream.

const WORDS = ['one ', 'two ', 'three ', 'four ', 'five']

/** Long enough for the agent, which is paused together with the gateway in this process, to send a frame after the pause. */
const INACTIVITY_TIMEOUT_MS = 500
const PAUSES = 2

const wholeChat = (_request: StartAttemptRequest): string[] => chatEvents(WORDS)

function blockEventLoop (durationMs: number): void {
  const untilMs = performance.now() + durationMs
  while (performance.now() < untilMs);
}

const delay = async (delayMs: number): Promise<void> => { await new Promise(resolve => { setTimeout(resolve, delayMs) }) }

describe('a gateway during process pauses', () => {
  let gateway: TestGateway

  afterEach(async () => { await gateway.stop() })

  it.each([300, 750, 2_000])('forwards a complete response after pauses of %d ms, without a resumption or second start', async pauseMs => {
    gateway = await startTestGateway({ agents: [{ name: 'a1', kind: 'model', answer: wholeChat, hold: true }], gateway: { silenceMs: INACTIVITY_TIMEOUT_MS } })
    const [agent] = gateway.agents
    const pendingResponse = fetch(`${gateway.url}/v1/chat/completions`, { method: 'POST', body: JSON.stringify({ model: 'writer', stream: true, messages: [{ role: 'user', content: 'x' }] }) })
    await delay(50)
    for (let pause = 0; pause < PAUSES; pause++) {
      blockEventLoop(pauseMs)
      await delay(100)
    }
    agent.release()
    const response = await pendingResponse
    const text = await response.text()
    expect(response.status).toBe(200)
    expect(text).toContain('five')
    expect(text).toContain('[DONE]')
    expect(agent).toMatchObject({ resumes: 0, starts: [expect.anything()] })
    expect(gateway.directory.notes).toEqual([])
  })
})

describe('the reader of a stream', () => {
  const HEARTBEAT = { kind: { case: 'heartbeat', value: {} } } as AttemptFrame
  const TIMING = { delayMs: 0, firstFrameTimeoutMs: 1_000 }

  /** Delivers frames one by one, like a socket. */
  function createSocket (): { arrive: (frame: AttemptFrame) => void, frames: () => AsyncIterable<AttemptFrame> } {
    const waiting: AttemptFrame[] = []
    let wake: () => void = () => {}
    async function * frames (): AsyncGenerator<AttemptFrame> {
      while (true) {
        const frame = waiting.shift()
        if (frame !== undefined) yield frame
        else await new Promise<void>(resolve => { wake = resolve })
      }
    }
    return {
      arrive: frame => {
        waiting.push(frame)
        wake()
      },
      frames
    }
  }

  function read (): { clock: ReturnType<typeof createFakeClock>, events: RequestEvent[], reader: AttemptReader, socket: ReturnType<typeof createSocket> } {
    const clock = createFakeClock()
    const events: RequestEvent[] = []
    const socket = createSocket()
    const reader = createAttemptReader({ clock, inactivityTimeoutMs: 1_500, onFrame: () => undefined, onEvent: event => { events.push(event) } })
    reader.open(1, socket.frames, TIMING)
    return { clock, events, reader, socket }
  }

  it('reads frames that arrived during a process pause before the stream times out', async () => {
    const { clock, events, socket } = read()
    socket.arrive(HEARTBEAT)
    await clock.advanceAsync(10)
    clock.stall(3_000)
    clock.advance(0)
    socket.arrive(HEARTBEAT)
    await clock.advanceAsync(1_400)
    expect(events).toEqual([])
  })

  it('reports a timeout at the configured bound, or shortly after a process pause', async () => {
    const { clock, events, socket } = read()
    socket.arrive(HEARTBEAT)
    await clock.advanceAsync(1_499)
    expect(events).toEqual([])
    clock.stall(3_000)
    await clock.advanceAsync(250)
    expect(events).toEqual([{ kind: 'inactivity_timeout', stream: 1 }])
  })
})
