import * as fc from 'fast-check'
import { HANDLED_SIGNALS, type HandledSignal, onSignal, type Phase, type SignalCommand } from '../stopSignals'

function commandsOf (signals: HandledSignal[]): SignalCommand[] {
  let phase: Phase = 'running'
  return signals.map(signal => {
    const step = onSignal(phase, signal)
    phase = step.phase
    return step.command
  })
}

describe('signals', () => {
  it('stop the daemon once, and only a second interrupt forces its exit', () => {
    fc.assert(fc.property(fc.array(fc.constantFrom(...HANDLED_SIGNALS), { maxLength: 8 }), signals => {
      const commands = commandsOf(signals)
      const firstStop = signals.findIndex(signal => signal !== 'SIGHUP')
      const forced = signals.findIndex((signal, index) => signal === 'SIGINT' && firstStop >= 0 && index > firstStop)
      expect(commands).toEqual(signals.map((_signal, index) => index === firstStop ? 'stop' : index === forced ? 'force' : 'ignore'))
    }), { seed: 61, numRuns: 300 })
  })
})
