/** Types and validation of the configuration document and the daemon settings. */
export * from './types'
export * from './defaults'
export { canonicalJson, hashDocument } from './canonicalJson'
export { formatIssues } from './formatIssues'
export { suggestNames } from './suggestions'
export { validateDocument, validateSettings } from './validate'
export { describeExpectedSyntax } from './sourceText'
