/**
 * Building blocks of the schemas. The error message of each schema describes the expected value, so that issues can use it
 * directly.
 */
import { isIPv4, isIPv6 } from 'node:net'
import { z } from 'zod'

/** Separator of the known keys in the error message for an unknown key. */
export const KEY_SEPARATOR = ', '

const MAX_NAME_LENGTH = 64
const MAX_PORT = 65_535
const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]*$/
const ADDRESS_PATTERN = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/

/** Error message of `name`. */
export const NAME_EXPECTED = `a name of at most ${MAX_NAME_LENGTH} letters, digits, ".", "_" and "-" that starts with a letter or digit`

/**
 * Names become parts of row keys, object names and URL paths, where slashes or spaces would change the meaning.
 *
 * @returns a schema for the name of a service, model, host or caller
 */
export function name (): z.ZodString {
  return z.string({ error: NAME_EXPECTED }).max(MAX_NAME_LENGTH, { error: NAME_EXPECTED }).regex(NAME_PATTERN, { error: NAME_EXPECTED })
}

/**
 * @param minimum - lowest allowed value
 * @param maximum - highest allowed value
 * @returns a schema for an integer
 */
export function wholeNumber (minimum: number, maximum = Number.MAX_SAFE_INTEGER): z.ZodNumber {
  const error = maximum === Number.MAX_SAFE_INTEGER
    ? `a whole number of at least ${minimum}`
    : `a whole number from ${minimum} to ${maximum}`
  return z.number({ error }).int({ error }).min(minimum, { error }).max(maximum, { error })
}

/**
 * @param minimum - lowest allowed value
 * @param maximum - highest allowed value
 * @returns a schema for a number that may have a fraction
 */
export function numberBetween (minimum: number, maximum: number): z.ZodNumber {
  const error = `a number from ${minimum} to ${maximum}`
  return z.number({ error }).min(minimum, { error }).max(maximum, { error })
}

/** @returns a schema for true or false */
export function flag (): z.ZodBoolean {
  return z.boolean({ error: 'true or false' })
}

/**
 * @param values - allowed values
 * @returns a schema for one of them
 */
export function oneOf<const Values extends readonly string[]> (values: Values): z.ZodEnum<{ [Value in Values[number]]: Value }> {
  return z.enum(values, { error: `one of ${values.map(value => JSON.stringify(value)).join(', ')}` })
}

/**
 * @param item - schema of an entry
 * @param what - plural noun for the entries
 * @returns a schema for a list
 */
export function listOf<Item extends z.ZodType> (item: Item, what: string): z.ZodArray<Item> {
  return z.array(item, { error: `a list of ${what}` })
}

/**
 * @param value - schema of an entry
 * @param what - plural noun for the entries
 * @returns a schema for an object whose keys are names
 */
export function namedMap<Value extends z.ZodType> (value: Value, what: string): z.ZodRecord<z.ZodString, Value> {
  return z.record(name(), value, { error: `an object that holds ${what} by name` })
}

/**
 * @param shape - allowed keys and their schemas
 * @returns a schema for an object without other keys
 */
export function strictShape<Shape extends z.core.$ZodLooseShape> (shape: Shape): z.ZodObject<Shape, z.core.$strict> {
  const knownKeys = Object.keys(shape).join(KEY_SEPARATOR)
  return z.strictObject(shape, {
    error: issue => issue.code === 'unrecognized_keys' ? knownKeys : `an object with the keys ${knownKeys}`
  })
}

/** @returns a schema for the URL of an HTTP service */
export function httpUrl (): z.ZodString {
  const error = 'an http:// or https:// URL'
  return z.string({ error }).refine(text => URL.canParse(text) && /^https?:$/.test(new URL(text).protocol), { error })
}

/** @returns a schema for an IP address and port to listen on */
export function listenAddress (): z.ZodString {
  const error = `an IP number and a port up to ${MAX_PORT}, for example "10.0.0.7:8080" or "[::1]:8080"`
  return z.string({ error }).refine(isListenAddress, { error })
}

function isListenAddress (text: string): boolean {
  const match = ADDRESS_PATTERN.exec(text)
  if (match === null) return false
  const [, ipv6, ipv4, port] = match
  const isIp = ipv6 === undefined ? isIPv4(ipv4) : isIPv6(ipv6)
  return isIp && Number(port) <= MAX_PORT
}
