/** Rate limits over many gateways: three algorithms compared with an exact counter. */
import type { Experiment, RunContext, Variant, VariantRun } from '../harness/types'
import { playLimitModel } from '../model/limits/limitModel'
import type { LimitModelOptions, LimitTrouble, LimitWayName } from '../model/limits/types'
import { barsByFigure } from '../plots/resultPlots'

/** Limits of the accounts of a deployment, a few of which are large. */
const RATES_PER_SECOND: readonly number[] = [48, 28, 20, 16, 14, 12, 11, 10, 9, 8, 8, 7, 7, 6, 6, 6, ...Array.from({ length: 58 }, () => 5)]

/** Load with one account that exceeds its limit; the others stay within theirs. */
export const HOT_ACCOUNT: Omit<LimitModelOptions, 'seed' | 'way' | 'gateways' | 'trouble' | 'durationMs'> = {
  ratesPerSecond: RATES_PER_SECOND,
  usualShare: 0.35,
  hotFactor: 8,
  clientsPerAccount: 4,
  lostShare: 0.005,
  bounds: { windowMs: 5000, overrunShare: 0.1, slackRequests: 20 }
}

const WAYS: readonly LimitWayName[] = ['share', 'gossip', 'home']
const TROUBLES: readonly LimitTrouble[] = ['none', 'all_killed', 'third_cut_off', 'limit_lowered']
const SIZES: readonly number[] = [29, 88, 340]

export const limits: Experiment = {
  name: 'limits',
  question: 'Which way of keeping limits of rate holds them best, refuses least that they allow, and costs least, at 29, 88 and 340 gateways?',
  defaults: { runs: 5, seconds: 12 },
  warmUpMs: 0,
  variants: () => [
    ...TROUBLES.flatMap(trouble => WAYS.map(way => variant(way, SIZES[0], trouble))),
    ...SIZES.slice(1).flatMap(gateways => WAYS.map(way => variant(way, gateways, 'none')))
  ],
  aims: WAYS.map(way => ({ text: `"${way}" stays within what is tolerated`, variant: nameOf(way, SIZES[0], 'third_cut_off'), figure: 'overrunOfTolerance', compare: 'value', bound: 'at_most', limit: 1 })),
  summary: ['overrunOfTolerance', 'wronglyRefusedShare', 'hotAdmittedShare', 'messagesPerSecond', 'waitP99Ms'],
  plots: result => [
    barsByFigure(result, { overrunOfTolerance: 'overrun, of what is tolerated', wronglyRefusedShare: 'refused within the limit' }, { name: 'limits', title: 'Limits of rate by way', yLabel: 'share' })
  ]
}

function nameOf (way: LimitWayName, gateways: number, trouble: LimitTrouble): string {
  return `${way}, ${gateways} gateways, ${trouble.replaceAll('_', ' ')}`
}

function variant (way: LimitWayName, gateways: number, trouble: LimitTrouble): Variant {
  return { name: nameOf(way, gateways, trouble), settings: { way, gateways, trouble }, run: context => play(context, { way, gateways, trouble }) }
}

async function play ({ round, durationMs }: RunContext, change: Pick<LimitModelOptions, 'way' | 'gateways' | 'trouble'>): Promise<VariantRun> {
  const figures = await playLimitModel({ ...HOT_ACCOUNT, ...change, seed: round + 1, durationMs })
  return { figures: { ...figures } }
}
