/** `anvilarch config diff FILE` */
import { positional, string } from 'cmd-ts'
import { diffDocuments, formatChange } from '../configuration/diffDocuments'
import { readDocument } from '../configuration/readDocument'
import { defineCommand } from '../defineCommand'
import { formatCount } from '../output/table'

/** Compares a document with the configuration in force. */
export const configDiff = defineCommand({
  name: 'diff',
  description: 'Show what applying a document would change; defaults are compared as if written out',
  args: { file: positional({ type: string, displayName: 'FILE', description: 'the document, JSON with comments' }) },
  examples: [{ description: 'See what an apply would change', line: 'anvilarch config diff chamber.jsonc' }],
  run: async ({ file }, session) => {
    const { document } = await readDocument(file)
    const current = await session.gateway.configuration()
    const changes = diffDocuments(current.document, document)
    const head = `version ${current.version} -> ${file}: ${changes.length === 0 ? 'no difference' : formatCount(changes.length, 'field') + ' would change'}`
    return {
      json: { version: current.version, file, differs: changes.length > 0, changes },
      text: [head, ...changes.map(formatChange)].join('\n')
    }
  }
})
