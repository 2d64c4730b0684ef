/** Suggests similar names for a mistyped one. */
import { distance } from 'fastest-levenshtein'

const MAX_SUGGESTIONS = 3
const MIN_ALLOWED_EDITS = 2
/** Longer names may differ by one edit per this many letters. */
const LETTERS_PER_EDIT = 3

/**
 * @param found - the mistyped name
 * @param candidates - valid names
 * @returns the most similar candidates, the most similar first; empty if none is similar
 */
export function suggestNames (found: string, candidates: string[]): string[] {
  const allowedEdits = Math.max(MIN_ALLOWED_EDITS, Math.floor(found.length / LETTERS_PER_EDIT))
  const lowerFound = found.toLowerCase()
  return candidates
    .map(candidate => ({ candidate, edits: distance(lowerFound, candidate.toLowerCase()) }))
    .filter(({ candidate, edits }) => edits <= allowedEdits && edits < candidate.length)
    .sort((left, right) => left.edits - right.edits)
    .slice(0, MAX_SUGGESTIONS)
    .map(({ candidate }) => candidate)
}
