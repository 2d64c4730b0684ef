import { type EngineStandin, startEngineStandin } from 'anvilarch-standins'
import { type AgentHarness, readFrames, startAgentHarness, startMessage, waitUntil } from '../__fixtures__/agentHarness'

const ENGINE = { baseStepMs: 20, perSequenceMs: 0, prefillPerTokenMs: 0, perThousandContextTokensMs: 0 }
const ENGINE_TIMEOUT_MS = 500
const PAUSES = 4

function blockEventLoop (durationMs: number): void {
  const untilMs = performance.now() + durationMs
  while (performance.now() < untilMs);
}

describe('an agent after a process pause', () => {
  let engine: EngineStandin
  let harness: AgentHarness

  beforeEach(async () => {
    engine = await startEngineStandin({ engine: ENGINE, preload: ['small:1'] })
    harness = await startAgentHarness({
      endpoints: [{ name: 'engine', kind: 'model', url: engine.url }],
      agent: { endpointSilenceMs: ENGINE_TIMEOUT_MS },
      options: { tickMs: 20, probeIntervalMs: 100, pingIntervalMs: 50, connectionTimeoutMs: 200 }
    })
  })

  afterEach(async () => {
    await harness.stop()
    await engine.close()
    expect(harness.violations).toEqual([])
  })

  // Guards against an agent that, after its host resumes, reopens all streams to the engine and drops the connections of all
  // gateways.
  it('keeps its streams to the engine and the connections of its gateways', async () => {
    const reading = readFrames(harness.client.startAttempt(startMessage({ attemptId: 'a', body: { model: 'small', messages: [{ role: 'user', content: 'x' }], max_tokens: 60 }, outputMode: 'stream' })))
    await waitUntil(() => harness.events('a').includes('attempts.first_token'))
    for (let pause = 0; pause < PAUSES; pause++) {
      await new Promise(resolve => { setTimeout(resolve, 70) })
      blockEventLoop(2 * ENGINE_TIMEOUT_MS)
    }
    expect((await reading).final).toMatchObject({ outcome: 'completed', outputTokens: 60 })
    expect(harness.events('a')).not.toContain('attempts.resumed')
  })
})
