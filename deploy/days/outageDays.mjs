// Writes days of 16 seconds on which the configuration changes around the end of an outage of the store:
// `node deploy/days/outageDays.mjs --seed 1 --count 12 --out target/days`.
//
// Hosts count as connected some seconds after the end of an outage. Changes that were acknowledged before or just after its end have to be
// in force by then, so the times of the changes are random offsets from that end.
import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { parseArgs } from 'node:util'
import { createRandom } from 'anvilarch-utils'

const DAY_S = 16
const FIRST_START_S = 2.5
const START_SPREAD_S = 1.5
const MIN_LENGTH_S = 0.6
const LENGTH_SPREAD_S = 4.4
const FIRST_CHANGE_OFFSET_S = -0.3
const CHANGE_OFFSET_SPREAD_S = 1.5
const CHANGE_COUNT = 10
const SKIPPED_VALUES = 10

/** Outages: calls to the store fail or are slow, for all hosts or for some. */
const OUTAGES = [
  { kind: 'platform_down', how: 'silent', share: 0.0 },
  { kind: 'platform_down', how: 'silent', share: 0.0 },
  { kind: 'platform_down', how: 'nodes', share: 0.7 },
  { kind: 'platform_down', how: 'reset', share: 0.0 },
  { kind: 'platform_lost', x: 0.8 },
  { kind: 'platform_slow', x: 300 },
  { kind: 'core_cut', count: 4 },
  { kind: 'node_cut', how: 'all', share: 0.5 },
  { kind: 'reset_conns', share: 1.0, x: 1.0 }
]

const CHANGES = ['route', 'route', 'route', 'route', 'weights']

function toToml (entries) {
  return entries.map(entry => `  { ${Object.entries(entry).map(([name, value]) => `${name} = ${JSON.stringify(value)}`).join(', ')} },\n`).join('')
}

/** @returns the text of a day with one outage and the changes around its end */
function renderDay (seed) {
  const random = createRandom(seed)
  // Skips the first numbers, as those of neighbouring seeds are similar.
  for (let skipped = 0; skipped < SKIPPED_VALUES; skipped++) random.next()
  const at = FIRST_START_S + random.next() * START_SPREAD_S
  const lengthS = MIN_LENGTH_S + random.next() * LENGTH_SPREAD_S
  const endS = at + lengthS
  const faults = [{ ...random.pick(OUTAGES), for_s: Number(lengthS.toFixed(2)), at: Number(at.toFixed(2)) }]
  const plan = Array.from({ length: CHANGE_COUNT }, () => endS + FIRST_CHANGE_OFFSET_S + random.next() * CHANGE_OFFSET_SPREAD_S)
    .sort((one, other) => one - other)
    .map(changeS => ({ kind: 'config_change', how: random.pick(CHANGES), at: Number(changeS.toFixed(2)) }))
  return `name = "outage-${seed}"\nslot = "trouble"\nseed = ${seed}\nlength_s = ${DAY_S}.0\nfaults = [\n${toToml(faults)}]\nplan = [\n${toToml(plan)}]\n`
}

const { values } = parseArgs({ options: { seed: { type: 'string' }, count: { type: 'string' }, out: { type: 'string' } } })
const firstSeed = Number(values.seed ?? 1)
const folder = values.out ?? join('target', 'days')
mkdirSync(folder, { recursive: true })
for (let seed = firstSeed; seed < firstSeed + Number(values.count ?? 1); seed++) writeFileSync(join(folder, `outage-${seed}.toml`), renderDay(seed))
