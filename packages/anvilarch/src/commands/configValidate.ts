/** `anvilarch config validate FILE` */
import { positional, string } from 'cmd-ts'
import { hashDocument } from 'anvilarch-configuration'
import { readDocument } from '../configuration/readDocument'
import { defineCommand } from '../defineCommand'
import { formatCount } from '../output/table'

/** Validates a document locally, without a gateway. */
export const configValidate = defineCommand({
  name: 'validate',
  description: 'Check a configuration document without a gateway',
  args: { file: positional({ type: string, displayName: 'FILE', description: 'the document, JSON with comments' }) },
  examples: [{ description: 'List every error with line and column', line: 'anvilarch config validate chamber.jsonc' }],
  run: async ({ file }) => {
    const { document } = await readDocument(file)
    const services = Object.keys(document.services).length
    const hash = hashDocument(document)
    return {
      json: { valid: true, file, hash, services },
      text: `${file} is valid: ${formatCount(services, 'service')}, hash ${hash.slice(0, 12)}`
    }
  }
})
