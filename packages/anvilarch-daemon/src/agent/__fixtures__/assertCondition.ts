/** A fast assertion for long generated histories, where Jest matchers would take most of the time. */

/**
 * @param condition - expected to be true
 * @param found - error message that describes the violation
 */
export function assertCondition (condition: boolean, found: string): void {
  if (!condition) throw new Error(found)
}
