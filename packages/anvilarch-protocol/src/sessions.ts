/** Limits of a session that both sides must agree on. */

/** Maximum output bytes of one stream that the agent has sent and the gateway has not yet forwarded. */
export const STREAM_CREDIT_BYTES = 256 * 1024
