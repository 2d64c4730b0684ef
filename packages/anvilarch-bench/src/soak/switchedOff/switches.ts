/**
 * Mechanisms that can be disabled in a scratch copy of the repository, to show that the soak detects their absence. The
 * replacements change source lines of the copy only, never the shipped code.
 */
import type { FaultName } from '../faults/faultTable'

/** A text of a source file, and the text that replaces it when its mechanism is disabled. */
export interface Replacement {
  /** Path relative to the root of the repository. */
  file: string
  /** Must occur exactly once. */
  text: string
  by: string
}

/** A mechanism, how to disable it, and the soak that detects its absence. */
export interface MechanismSwitch {
  /** Rule that the mechanism enforces. */
  mechanism: string
  replacements: Replacement[]
  faults: FaultName[]
  /** Rate of concurrent operators, if not the default. */
  racesPerSecond?: number
  minutes: number
  /** With an even seed, engines do not check fencing tokens. */
  seed: number
}

const DAEMON = 'packages/anvilarch-daemon/src'

const FENCING: Replacement = {
  file: `${DAEMON}/agent/fencing.ts`,
  text: "return event.token < state.highestToken ? 'stale_fencing_token' : 'allowed'",
  by: "return 'allowed'"
}

const SINGLE_SEND: Replacement = {
  file: `${DAEMON}/attempts/machine/nextAttempt.ts`,
  text: "if (!closed.facts.idempotent && closed.ran !== 'not_run') return",
  by: 'if (closed.phase === undefined) return'
}

const PART_ROW: Replacement = {
  file: `${DAEMON}/jobs/partCommits.ts`,
  text: 'const conditions = [{ key: partKey, version: partVersion }]',
  by: 'const conditions: Array<{ key: string, version: number }> = partVersion < 0 ? [{ key: partKey, version: partVersion }] : []'
}

const JOB_ROW: Replacement = {
  file: `${DAEMON}/jobs/partCommits.ts`,
  text: "if (pending.kind === 'segment') conditions.push({ key: jobKey, version: jobVersion })",
  by: 'if (jobVersion < 0) conditions.push({ key: jobKey, version: jobVersion })'
}

/** Mechanisms by name. */
export const SWITCHES: Record<string, MechanismSwitch> = {
  none: {
    mechanism: 'nothing is disabled',
    replacements: [],
    faults: ['stop_agent', 'kill_agent', 'pause_gateway', 'peer_delay'],
    minutes: 1.5,
    seed: 2
  },
  bar_unknown_ids: {
    mechanism: 'the agent bars an unknown attempt id whose resumption is requested',
    replacements: [{
      file: `${DAEMON}/agent/attemptTable.ts`,
      text: "return [refuse(event.id, barId(state, event.id, event.nowMs) ? 'barred' : 'wrong_incarnation')]",
      by: "return [refuse(event.id, 'barred')]"
    }],
    faults: ['peer_delay'],
    minutes: 1.5,
    seed: 2
  },
  single_send: {
    mechanism: 'a non-idempotent call whose outcome is unknown is not sent again',
    replacements: [SINGLE_SEND],
    faults: ['kill_agent', 'kill_engine', 'peer_silence', 'pause_agent'],
    minutes: 1.5,
    seed: 2
  },
  single_send_and_invariant: {
    mechanism: 'as single_send, and the invariant that ends a daemon which sends such a call twice',
    replacements: [SINGLE_SEND, {
      file: `${DAEMON}/attempts/attemptLedger.ts`,
      text: 'invariant(idempotent || openAttempts().length === 0,',
      by: 'invariant(openAttempts().length >= 0,'
    }],
    faults: ['kill_agent', 'kill_engine', 'peer_silence', 'pause_agent'],
    minutes: 1.5,
    seed: 2
  },
  intent_condition: {
    mechanism: 'a call with an Idempotency-Key first commits its intent under the condition that there is none',
    replacements: [{
      file: `${DAEMON}/attempts/intents/commitGroup.ts`,
      text: 'conditions: entries.map(({ key, version }) => ({ key, version })),',
      by: 'conditions: [],'
    }],
    faults: ['table_slow'],
    minutes: 1,
    seed: 2
  },
  part_row_condition: {
    mechanism: 'a segment commit is conditioned on the version of the part row',
    replacements: [PART_ROW],
    faults: ['pause_gateway'],
    minutes: 2,
    seed: 2
  },
  job_row_condition: {
    mechanism: 'a segment commit is conditioned on the version of the job row, which changes with a cancellation',
    replacements: [JOB_ROW],
    faults: ['table_slow'],
    minutes: 2,
    seed: 2
  },
  both_row_conditions_and_lease_clock: {
    mechanism: 'as part_row_condition and job_row_condition, and a gateway commits nothing once its lease has expired by its own clock',
    replacements: [PART_ROW, JOB_ROW, {
      file: `${DAEMON}/jobs/partCommits.ts`,
      text: 'heartbeat.holdsLease() && heartbeat.lapses() === confirmedLapses && !state.isLeaseUncertain',
      by: 'confirmedLapses >= 0'
    }, {
      file: `${DAEMON}/jobs/partCommits.ts`,
      text: 'if (heartbeat.lapses() !== confirmedLapses && !state.isLeaseUncertain) dispatch',
      by: 'if (confirmedLapses < 0) dispatch'
    }],
    faults: ['pause_gateway'],
    minutes: 2,
    seed: 2
  },
  job_key_condition: {
    mechanism: 'a job is committed under the condition that its key is free',
    replacements: [{
      file: `${DAEMON}/jobs/acceptJob.ts`,
      text: '{ key: jobKey, version: key?.row.version ?? 0 },',
      by: '...(key?.row.version === -1 ? [{ key: jobKey, version: 0 }] : []),'
    }, {
      file: `${DAEMON}/jobs/acceptJob.ts`,
      text: '      { key: file.row.key, version: file.row.version },\n',
      by: ''
    }],
    faults: ['table_slow'],
    minutes: 1.5,
    seed: 2
  },
  configuration_version: {
    mechanism: 'a daemon accepts no lower configuration version than its own',
    replacements: [{
      file: `${DAEMON}/configuration/createConfigurationHolder.ts`,
      text: "if (offered.version <= (current?.version ?? 0)) return 'not_newer'",
      by: "if (offered.version === (current?.version ?? 0)) return 'not_newer'"
    }, {
      file: `${DAEMON}/configuration/createConfigurationHolder.ts`,
      text: "invariant(current.version > before, 'configuration_version_grows',",
      by: "invariant(before >= 0, 'configuration_version_grows',"
    }],
    faults: ['peer_delay'],
    racesPerSecond: 1.5,
    minutes: 3,
    seed: 2
  },
  configuration_condition: {
    mechanism: 'the version row is changed only from the version that was read',
    replacements: [{
      file: `${DAEMON}/configuration/applyConfiguration.ts`,
      text: 'conditions: [{ key, version: decision.conditionVersion }],',
      by: 'conditions: [],'
    }],
    faults: ['table_slow'],
    minutes: 1.5,
    seed: 2
  },
  agent_fencing: {
    mechanism: 'the agent rejects an order with a lower fencing token than the highest so far',
    replacements: [FENCING],
    faults: ['pause_gateway', 'peer_delay'],
    racesPerSecond: 0.7,
    minutes: 3,
    seed: 2
  },
  agent_fencing_and_lease_clock: {
    mechanism: 'as agent_fencing, and a gateway uses its lease only until it expires by its own clock',
    replacements: [FENCING, {
      file: `${DAEMON}/leases/startSingleLease.ts`,
      text: 'if (!heartbeat.holdsLease() || held.lapses !== heartbeat.lapses()) return undefined',
      by: ''
    }],
    faults: ['pause_gateway', 'peer_delay'],
    racesPerSecond: 0.7,
    minutes: 3,
    seed: 2
  },
  answer_that_goes_on: {
    mechanism: 'an error response is not accepted as the continuation of a stream',
    replacements: [{
      file: `${DAEMON}/attempts/output/streamCollector.ts`,
      text: 'if (delivered) return newStatus === status && isEvents ? undefined :',
      by: 'if (delivered) return newStatus > 0 ? undefined :'
    }],
    faults: ['failing_engine', 'crashing_request'],
    minutes: 1,
    seed: 2
  },
  drain_refusal: {
    mechanism: 'a draining agent refuses new work',
    replacements: [{
      file: `${DAEMON}/agent/attemptRegistry.ts`,
      text: "if (deps.isDraining()) return refuse('draining')",
      by: ''
    }],
    faults: ['stop_agent'],
    minutes: 1,
    seed: 2
  }
}
