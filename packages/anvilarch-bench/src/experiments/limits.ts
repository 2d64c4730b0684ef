/** Rate limits over many gateways: three algorithms compared with an exact counter. */
import type { Experiment, RunContext, Variant, VariantRun } from '../harness/types'
import { runLimitModel } from '../model/limits/limitModel'
import type { LimitModelOptions, LimitFault, LimitAlgorithmName } from '../model/limits/types'
import { barsByFigure } from '../plots/resultPlots'

/** Limits of the accounts of a deployment, a few of which are large. */
const RATES_PER_SECOND: readonly number[] = [48, 28, 20, 16, 14, 12, 11, 10, 9, 8, 8, 7, 7, 6, 6, 6, ...Array.from({ length: 58 }, () => 5)]

/** Load with one account that exceeds its limit; the others stay within theirs. */
export const HOT_ACCOUNT: Omit<LimitModelOptions, 'seed' | 'algorithm' | 'gateways' | 'fault' | 'durationMs'> = {
  ratesPerSecond: RATES_PER_SECOND,
  usualShare: 0.35,
  hotFactor: 8,
  clientsPerAccount: 4,
  lostShare: 0.005,
  bounds: { windowMs: 5000, overrunShare: 0.1, slackRequests: 20 }
}

const ALGORITHMS: readonly LimitAlgorithmName[] = ['share', 'gossip', 'home']
const FAULTS: readonly LimitFault[] = ['none', 'all_killed', 'third_cut_off', 'limit_lowered']
const GATEWAY_COUNTS: readonly number[] = [29, 88, 340]

export const limits: Experiment = {
  name: 'limits',
  question: 'Which way of keeping limits of rate holds them best, refuses least that they allow, and costs least, at 29, 88 and 340 gateways?',
  defaults: { runs: 5, seconds: 12 },
  warmUpMs: 0,
  variants: () => [
    ...FAULTS.flatMap(fault => ALGORITHMS.map(algorithm => variant(algorithm, GATEWAY_COUNTS[0], fault))),
    ...GATEWAY_COUNTS.slice(1).flatMap(gateways => ALGORITHMS.map(algorithm => variant(algorithm, gateways, 'none')))
  ],
  aims: ALGORITHMS.map(algorithm => ({ text: `"${algorithm}" stays within what is tolerated`, variant: nameOf(algorithm, GATEWAY_COUNTS[0], 'third_cut_off'), figure: 'overrunOfTolerance', compare: 'value', bound: 'at_most', limit: 1 })),
  summary: ['overrunOfTolerance', 'wronglyRefusedShare', 'hotAdmittedShare', 'messagesPerSecond', 'waitP99Ms'],
  plots: result => [
    barsByFigure(result, { overrunOfTolerance: 'overrun, of what is tolerated', wronglyRefusedShare: 'refused within the limit' }, { name: 'limits', title: 'Limits of rate by way', yLabel: 'share' })
  ]
}

function nameOf (algorithm: LimitAlgorithmName, gateways: number, fault: LimitFault): string {
  return `${algorithm}, ${gateways} gateways, ${fault.replaceAll('_', ' ')}`
}

function variant (algorithm: LimitAlgorithmName, gateways: number, fault: LimitFault): Variant {
  return { name: nameOf(algorithm, gateways, fault), settings: { way: algorithm, gateways, trouble: fault }, run: context => simulate(context, { algorithm, gateways, fault }) }
}

async function simulate ({ round, durationMs }: RunContext, change: Pick<LimitModelOptions, 'algorithm' | 'gateways' | 'fault'>): Promise<VariantRun> {
  const figures = await runLimitModel({ ...HOT_ACCOUNT, ...change, seed: round + 1, durationMs })
  return { figures: { ...figures } }
}
