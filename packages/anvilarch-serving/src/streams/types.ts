/** Types for the binding of streams to the endpoints that may continue them. */

/**
 * What the beginning of a stream binds it to. The texts of two software versions of a service do not fit together, so only
 * endpoints of this version may continue the stream.
 */
export interface StreamOrigin {
  service: string
  softwareVersion: string
}
