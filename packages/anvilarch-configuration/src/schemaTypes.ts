/** Compile-time checks that a schema and its type have the same keys. */

/** True if both types have the same keys, including optional ones. */
export type SameKeys<Left, Right> = [keyof Left, keyof Right] extends [keyof Right, keyof Left] ? true : false

/** Fails to compile unless the type argument is true. */
export type AssertTrue<Condition extends true> = Condition
