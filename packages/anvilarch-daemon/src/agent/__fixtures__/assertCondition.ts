/** A check for long histories, where the matchers of the test runner would take most of the time. */

/**
 * @param condition - must be true
 * @param found - says what was found instead
 */
export function assertCondition (condition: boolean, found: string): void {
  if (!condition) throw new Error(found)
}
