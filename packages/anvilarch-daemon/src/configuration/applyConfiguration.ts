/** Puts a document in force: the object first, then the row that makes it visible. */
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
  /** Named in the issues. */
  fileName: string
  ifVersion?: number
  appliedBy: string
}

/** What became of it. */
export type ApplyResult =
  | { outcome: 'applied', version: number, hash: string, changed: boolean }
  | { outcome: 'conflict', version: number }
  | { outcome: 'not_valid', issues: ConfigurationIssue[] }

/** What applying needs of the shared parts. */
export type ApplyContext = Pick<DaemonContext, 'clock' | 'random' | 'platform' | 'configuration' | 'timeline'>

/** An operator waits longer than a caller does, since an unknown outcome costs a look at the state. */
const SETTLE_OPTIONS = { tries: 6, backoffMs: 100 }

/** A validated document with its text and hash. */
interface Candidate {
  text: string
  hash: string
}

/**
 * A reader that sees the row can always read the whole document, since the object is there before the row names it.
 * An object whose row was never written is harmless: nobody looks for it.
 *
 * @param context - shared parts of the daemon
 * @param input - the document and who applies it
 * @returns the version, the conflict, or the issues
 * @throws AnvilarchError when the platform is not available; its `ran` says whether the document may be in force
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
  // Every try carries the same commit id, so a repeated one neither writes twice nor loses a race against itself.
  const commit: Commit = {
    commitId: randomUUID(),
    conditions: [{ key, version: decision.conditionVersion }],
    writes: [{ key, value: JSON.stringify(value) }]
  }
  const settling = { table: context.platform.table, clock: context.clock, random: context.random }
  const result = await commitWithRetry(settling, commit, 'configuration.commit', SETTLE_OPTIONS)
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
