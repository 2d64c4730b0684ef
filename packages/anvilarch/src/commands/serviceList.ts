/** `anvilarch service list` */
import { defineCommand } from '../defineCommand'
import { type Cell, formatTable } from '../output/table'

/** Lists the services of the configuration in force. */
export const serviceList = defineCommand({
  name: 'list',
  description: 'List the services of the configuration in force, with their replicas',
  args: {},
  examples: [{ description: 'Which services have all their replicas', line: 'anvilarch service list' }],
  run: async (_args, session) => {
    const { services } = await session.gateway.services()
    const rows = services.map((service): Cell[] => [
      service.name,
      service.kind,
      service.model === undefined ? undefined : `${service.model}@${service.version ?? ''}`,
      `${service.ready}/${service.replicas}`,
      service.classes.join(',')
    ])
    return { json: { services }, text: rows.length === 0 ? 'no services' : formatTable(['SERVICE', 'KIND', 'MODEL', 'READY', 'CLASSES'], rows) }
  }
})
