/** Applies a document: stores the object first, then the row that refers to it. */
import { randomUUID } from 'node:crypto'
import { canonicalJson, type ConfigurationDocument, type ConfigurationIssue, validateDocument } from 'anvilarch-configuration'
import { type Commit, type ConfigurationVersionRow, OBJECT_NAMES, ROW_KEYS, type Row } from 'anvilarch-protocol'
import type { DaemonContext } from '../context'
import { commitWithRetry } from '../platform/commitWithRetry'
import { type ApplyDecision, decideAfterConflict, decideApply } from './applyDecision'
import { hashOfText } from './parseOffer'

/** A document from an operator. */
export interface ApplyInput {
  /** JSON with comments. */
  documentText: string
  /** File name for the issues. */
  fileName: string
  ifVersion?: number
  appliedBy: string
}

/** Result of `applyConfiguration`. */
export type ApplyResult =
  | { outcome: 'applied', version: number, hash: string, changed: boolean }
  | { outcome: 'conflict', version: number }
  | { outcome: 'not_valid', issues: ConfigurationIssue[] }

/** Shared parts of the daemon that `applyConfiguration` needs. */
export type ApplyContext = Pick<DaemonContext, 'clock' | 'random' | 'platform' | 'configuration' | 'timeline'>

/** More attempts than for callers, since an operator has to check the state after an unknown outcome. */
const COMMIT_RETRY_OPTIONS = { maxAttempts: 6, backoffMs: 100 }

/** A validated document with its text and hash. */
interface Candidate {
  text: string
  hash: string
}

/**
 * The object is stored before the row refers to it, so a reader of the row can always read the document. An object whose row was
 * never written is harmless, since nothing refers to it.
 *
 * @param context - shared parts of the daemon
 * @param input - the document and who applies it
 * @returns the version, the conflict, or the issues
 * @throws AnvilarchError if the platform is unavailable; its `ran` shows whether the document may be in force
 */
export async function applyConfiguration (context: ApplyContext, input: ApplyInput): Promise<ApplyResult> {
  const validated = validateDocument(input.documentText, input.fileName)
  if (!validated.ok) return { outcome: 'not_valid', issues: validated.val }
  const candidate = toCandidate(validated.val)
  const request = { hash: candidate.hash, ifVersion: input.ifVersion }
  const [row] = await context.platform.table.read([ROW_KEYS.configurationVersion])
  const decision = decideApply(row, request)
  if (decision.action !== 'write') return finish(context, candidate, decision)
  await context.platform.objects.putIfAbsent(OBJECT_NAMES.configuration(candidate.hash), new TextEncoder().encode(candidate.text))
  return await commitRow(context, candidate, input, decision)
}

function toCandidate (document: ConfigurationDocument): Candidate {
  const text = canonicalJson(document)
  return { text, hash: hashOfText(text) }
}

async function commitRow (
  context: ApplyContext, candidate: Candidate, input: ApplyInput, decision: ApplyDecision & { action: 'write' }
): Promise<ApplyResult> {
  const key = ROW_KEYS.configurationVersion
  const value: ConfigurationVersionRow = {
    version: decision.version, hash: candidate.hash, appliedBy: input.appliedBy, appliedAtMs: context.clock.wallMs()
  }
  // All attempts use the same commit id, so a retry neither writes twice nor conflicts with an earlier attempt.
  const commit: Commit = {
    commitId: randomUUID(),
    conditions: [{ key, version: decision.conditionVersion }],
    writes: [{ key, value: JSON.stringify(value) }]
  }
  const commitContext = { table: context.platform.table, clock: context.clock, random: context.random }
  const result = await commitWithRetry(commitContext, commit, 'configuration.commit', COMMIT_RETRY_OPTIONS)
  if (result.outcome === 'conflict') {
    const found = result.rows.find(row => row.key === key)
    const row = found === undefined || found.value === null ? null : found satisfies Row
    return finish(context, candidate, decideAfterConflict(row, { hash: candidate.hash, ifVersion: input.ifVersion }))
  }
  context.timeline.record('configuration.accepted', { detail: { version: decision.version, hash: candidate.hash, appliedBy: input.appliedBy } })
  context.configuration.offer({ version: decision.version, hash: candidate.hash, documentJson: candidate.text })
  return { outcome: 'applied', version: decision.version, hash: candidate.hash, changed: true }
}

function finish (context: ApplyContext, candidate: Candidate, decision: ApplyDecision): ApplyResult {
  if (decision.action !== 'unchanged') return { outcome: 'conflict', version: decision.version }
  context.configuration.offer({ version: decision.version, hash: candidate.hash, documentJson: candidate.text })
  return { outcome: 'applied', version: decision.version, hash: candidate.hash, changed: false }
}
