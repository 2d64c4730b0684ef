/** The option `--wait`, with or without a number of seconds. */
import { extendType, option, optional, string } from 'cmd-ts'

/** Value of `--wait` without a number, set by `normalizeArguments`. */
export const WAIT_WITHOUT_SECONDS = 'default'

/** Parsed value of `--wait`. */
export interface Wait {
  /** No limit if undefined. */
  timeoutMs: number | undefined
}

/**
 * @param defaultSeconds - time limit of `--wait` without a number; none if undefined
 * @param what - condition to wait for, as shown in the help
 * @returns the option; its value is undefined if `--wait` is not given
 */
export function waitArgument (defaultSeconds: number | undefined, what: string) {
  const type = extendType(string, {
    displayName: 'seconds',
    from: async (text): Promise<Wait> => {
      if (text === WAIT_WITHOUT_SECONDS) return { timeoutMs: defaultSeconds === undefined ? undefined : defaultSeconds * 1000 }
      const seconds = Number(text)
      if (text === '' || !Number.isFinite(seconds) || seconds < 0) throw new Error(`found "${text}"; expected a number of seconds`)
      return { timeoutMs: seconds * 1000 }
    }
  })
  const limit = defaultSeconds === undefined ? 'no limit' : `${defaultSeconds} s`
  return option({ long: 'wait', type: optional(type), description: `wait until ${what}, at most this long [alone: ${limit}]` })
}
