/** `anvilarch config show` */
import { defineCommand } from '../defineCommand'
import { formatTime } from '../output/table'

const INDENT = 2

/** Prints the configuration document in force. */
export const configShow = defineCommand({
  name: 'show',
  description: 'Print the configuration document in force, as a file that can be applied again',
  args: {},
  examples: [{ description: 'Keep the document in force before a change', line: 'anvilarch config show > before.jsonc' }],
  run: async (_args, session) => {
    const response = await session.gateway.configuration()
    const { appliedBy, appliedAtMs } = response
    const origin = appliedAtMs === undefined ? 'not known while the table can\'t be read' : `${appliedBy} at ${formatTime(appliedAtMs)}`
    const head = [`// version ${response.version}, hash ${response.hash}`, `// applied by: ${origin}`]
    return { json: response, text: [...head, JSON.stringify(response.document, null, INDENT)].join('\n') }
  }
})
