import fc from 'fast-check'
import { hostEntry } from '../__fixtures__/fakeAgents'
import { chooseSource } from '../bootstrapConfiguration'
import { type MemberRecord, newMember } from '../memberRecord'
import { hasPropagated } from '../waitForPropagation'

const SEED = 20261202

function member (index: number, version: number, isResponsive: boolean): MemberRecord {
  const record = newMember(hostEntry(`a:${index}`), 0)
  const state = isResponsive ? 'serving' as const : 'unreachable' as const
  return { ...record, isResponsive, view: { ...record.view, name: `agent-${index}`, state, configurationVersion: version } }
}

describe('chooseSource', () => {
  // Guards against reverting to the previous version after a version was reported to an operator as accepted.
  it('finds a version that a majority had when it was accepted, whichever agents respond', () => {
    const agents = fc.array(fc.record({ hadVersion: fc.boolean(), respondedThen: fc.boolean(), isResponsive: fc.boolean() }), { minLength: 1, maxLength: 12 })
    fc.assert(fc.property(agents, plan => {
      const accepted = plan.map(({ hadVersion, respondedThen }, index) => member(index, hadVersion ? 2 : 1, respondedThen))
      if (!hasPropagated(accepted.map(record => record.view), 2)) return
      const source = chooseSource(plan.map(({ hadVersion, isResponsive }, index) => member(index, hadVersion ? 2 : 1, isResponsive)))
      expect(source?.view.configurationVersion ?? 2).toBe(2)
    }), { seed: SEED, numRuns: 5000 })
  })

  it('has no source while half or more of the listed agents do not respond, or none has a version', () => {
    expect(chooseSource([member(0, 3, true), member(1, 3, false)])).toBeUndefined()
    expect(chooseSource([member(0, 0, true)])).toBeUndefined()
    expect(chooseSource([])).toBeUndefined()
    expect(chooseSource([member(0, 3, true), member(1, 4, true), member(2, 9, false)])?.view.configurationVersion).toBe(4)
  })
})
