/** Suggests a known name for an unknown one. */
import { distance } from 'fastest-levenshtein'

/**
 * @param found - unknown name
 * @param known - known names; at least one
 * @returns the known name with the smallest edit distance
 */
export function closestName (found: string, known: readonly string[]): string {
  return known.reduce((best, name) => distance(found, name) < distance(found, best) ? name : best)
}
