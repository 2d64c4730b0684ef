/** All experiments by name. */
import type { Experiment } from '../harness/types'
import { affinity } from './affinity'
import { configuration } from './configuration'
import { control } from './control'
import { jobs } from './jobs'
import { logCost } from './logCost'
import { limits } from './limits'
import { lookup } from './lookup'
import { loss } from './loss'
import { mix } from './mix'
import { overhead } from './overhead'
import { overload } from './overload'
import { placement } from './placement'

const ALL: readonly Experiment[] = [mix, lookup, overhead, affinity, overload, loss, jobs, configuration, control, logCost, placement, limits]

/** Experiments in the order of the report. */
export const EXPERIMENTS: ReadonlyMap<string, Experiment> = new Map(ALL.map(experiment => [experiment.name, experiment]))
