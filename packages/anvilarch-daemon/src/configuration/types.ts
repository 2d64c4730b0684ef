/** The configuration in force at one daemon. */
import type { ConfigurationDocument } from 'anvilarch-configuration'

/** A document with its version. */
export interface VersionedConfiguration {
  version: number
  hash: string
  document: ConfigurationDocument
  /** Text of the document, as input of the hash. */
  documentJson: string
}

/** Stores the configuration of this daemon, whose version only increases. */
export interface ConfigurationHolder {
  /** @returns the configuration in force, or undefined before the first one */
  current: () => VersionedConfiguration | undefined
  /** @returns the version in force, 0 before the first one */
  version: () => number
  /** Applies a document if its version is higher than the current one and its hash matches. */
  offer: (offered: { version: number, hash: string, documentJson: string }) => 'applied' | 'not_newer' | 'invalid'
  /** @returns a function that ends the subscription */
  onChange: (listener: (configuration: VersionedConfiguration) => void) => () => void
}
