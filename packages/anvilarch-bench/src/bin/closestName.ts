/** Suggests a known name for an unknown one. */
import { distance } from 'fastest-levenshtein'

/**
 * @param input - unknown name
 * @param known - known names; at least one
 * @returns the known name with the smallest edit distance
 */
export function closestName (input: string, known: readonly string[]): string {
  return known.reduce((best, name) => distance(input, name) < distance(input, best) ? name : best)
}
