// Writes days of 14 seconds on which several disruptions overlap:
// `node deploy/days/shortDays.mjs --seed 1 --count 24 --service NAME --out target/days`.
//
// Each day has disruptions that abort responses, others that make endpoints send wrong responses, and some of hosts, the store and the
// configuration. They start within four seconds and last for several, so that one request can be affected by two of them. Disruptions of
// endpoints affect the service given by --service. Without it, the seed of the day picks a service for each, and few requests are
// affected by two.
import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { parseArgs } from 'node:util'
import { createRandom } from 'anvilarch-utils'

const DAY_S = 14
const FIRST_START_S = 2
const LAST_START_S = 6

/** Abort responses, or delay them forever. */
const ABORTED_RESPONSES = [
  { kind: 'garble', share: 0.9, x: 0.4 },
  { kind: 'garble', how: 'unframed', share: 0.9, x: 0.3 },
  { kind: 'srv_crash', share: 0.4, for_s: 2 },
  { kind: 'srv_crash', how: 'dark', share: 0.3, for_s: 3 },
  { kind: 'srv_crash', how: 'gone', share: 0.3 },
  { kind: 'answer_lost', share: 0.9, x: 0.3 },
  { kind: 'answer_lost', how: 'reset', share: 0.9, x: 0.3 },
  { kind: 'srv_grey', how: 'reset', share: 0.7, x: 0.4 },
  { kind: 'srv_grey', how: 'hang', share: 0.6, x: 0.4 },
  { kind: 'srv_grey', how: 'mute', share: 0.6, x: 0.4 },
  { kind: 'srv_cut', how: 'reset', share: 0.4 },
  { kind: 'reset_conns', share: 0.8, x: 0.6 }
]

/** Make endpoints send wrong responses, slow them down or replace them. */
const WRONG_RESPONSES = [
  { kind: 'srv_grey', how: 'errors', share: 0.8, x: 0.6 },
  { kind: 'srv_grey', how: 'shed', share: 0.7, x: 0.5 },
  { kind: 'srv_grey', how: 'busy', share: 0.7, x: 0.5 },
  { kind: 'srv_grey', how: 'errors one_zone', share: 0.8, x: 0.6 },
  { kind: 'garble', how: 'extra', share: 0.8, x: 0.3 },
  { kind: 'garble', how: 'extra late', share: 0.8, x: 0.3 },
  { kind: 'garble', how: 'early', share: 0.8, x: 0.3 },
  { kind: 'replace_with_reuse', share: 0.3 },
  { kind: 'release', share: 0.6, x: 3, gap_s: 0.5 },
  { kind: 'scale_in', how: 'spot', share: 0.3, x: 1 },
  { kind: 'srv_slow', share: 0.6, x: 6 }
]

/** Affect hosts, the store, clients or the load. */
const OTHER_DISRUPTIONS = [
  { kind: 'node_kill', share: 0.3 },
  { kind: 'herd_kill', share: 0.6 },
  { kind: 'node_freeze', share: 0.3, for_s: 2.5 },
  { kind: 'node_slow', share: 0.3, x: 5 },
  { kind: 'node_cut', how: 'servers', share: 0.3 },
  { kind: 'platform_down', how: 'silent' },
  { kind: 'platform_down', how: 'nodes busy', share: 0.4 },
  { kind: 'platform_lost', how: 'late', x: 0.4 },
  { kind: 'platform_compact', x: 4 },
  { kind: 'give_up', share: 0.3 },
  { kind: 'burst', x: 1.6 },
  { kind: 'hup', share: 0.6, gap_s: 0.3 }
]

const PLANNED_EVENTS = [
  { kind: 'config_change', how: 'route' },
  { kind: 'config_change', how: 'weights' },
  { kind: 'config_change', how: 'timeout' },
  { kind: 'config_storm', gap_s: 0.3 },
  { kind: 'roll_term', how: 'busy', share: 0.5, gap_s: 0.8 }
]

/** @returns the entries, limited to a service if one is given; `reset_conns` applies to hosts, whatever their connections lead to */
function limitToService (entries, service) {
  if (service === undefined) return entries
  return entries.map(entry => entry.kind === 'reset_conns' ? entry : { ...entry, service })
}

/** @returns `count` different entries of a table, picked at random, each with a start and, unless it has one, a length */
function pickEntries (random, table, count) {
  const remaining = [...table]
  return Array.from({ length: count }, () => {
    const [entry] = remaining.splice(Math.floor(random.next() * remaining.length), 1)
    const at = FIRST_START_S + random.next() * (LAST_START_S - FIRST_START_S)
    return { for_s: 5, ...entry, at: Number(at.toFixed(2)) }
  })
}

function toToml (entries) {
  return entries.map(entry => `  { ${Object.entries(entry).map(([name, value]) => `${name} = ${JSON.stringify(value)}`).join(', ')} },\n`).join('')
}

function renderDay (seed, service) {
  const random = createRandom(seed)
  const faults = [
    ...limitToService(pickEntries(random, ABORTED_RESPONSES, 1 + Math.floor(random.next() * 2)), service),
    ...limitToService(pickEntries(random, WRONG_RESPONSES, 1 + Math.floor(random.next() * 2)), service),
    ...pickEntries(random, OTHER_DISRUPTIONS, Math.floor(random.next() * 3))
  ]
  const plan = pickEntries(random, PLANNED_EVENTS, Math.floor(random.next() * 2))
  return `name = "short-${seed}"\nslot = "trouble"\nseed = ${seed}\nlength_s = ${DAY_S}.0\nfaults = [\n${toToml(faults)}]\nplan = [\n${toToml(plan)}]\n`
}

const { values } = parseArgs({ options: { seed: { type: 'string' }, count: { type: 'string' }, service: { type: 'string' }, out: { type: 'string' } } })
const firstSeed = Number(values.seed ?? 1)
const folder = values.out ?? join('target', 'days')
mkdirSync(folder, { recursive: true })
for (let seed = firstSeed; seed < firstSeed + Number(values.count ?? 1); seed++) writeFileSync(join(folder, `short-${seed}.toml`), renderDay(seed, values.service))
