/** Small valid documents that differ in one field and so have different hashes. */

/**
 * @param variant - number that determines the size of a model
 * @returns the text of a document
 */
export function documentText (variant: number): string {
  return JSON.stringify({
    formatVersion: 1,
    regions: { addis: { failureDomains: ['bole-hall', 'kirkos-hall', 'arada-hall'] } },
    models: { auditor: { versions: { v1: { sizeBytes: 1000 + variant } }, adapters: [] } },
    services: { 'audit-writer': { kind: 'model', model: 'auditor', version: 'v1', replicas: 3 } }
  })
}
