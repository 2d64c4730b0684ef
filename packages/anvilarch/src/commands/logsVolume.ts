/** `anvilarch logs volume` */
import { option, optional, string } from 'cmd-ts'
import { defineCommand } from '../defineCommand'
import { readLogSources } from '../explain/logSources'
import { type LogVolume, logVolume } from '../explain/logVolume'
import { formatTable } from '../output/table'

/** Counts the lines and bytes of logs. */
export const logsVolume = defineCommand({
  name: 'volume',
  description: 'Count lines and bytes of logs, by message and by request',
  args: {
    logs: option({ long: 'logs', type: optional(string), description: 'folder or file with the logs; standard input if left out' })
  },
  examples: [{ description: 'Which message costs the most', line: 'anvilarch logs volume --logs /var/log/anvilarch' }],
  run: async ({ logs }) => {
    const volume = logVolume(readLogSources(logs))
    return { json: volume, text: formatVolume(volume), exit: 'ok' }
  }
})

function formatVolume (volume: LogVolume): string {
  const perRequest = (count: number): string => volume.requestCount === 0 ? '' : (count / volume.requestCount).toFixed(2)
  const rows = volume.messages.map(({ message, lineCount, byteCount }) => [message, lineCount, byteCount, perRequest(byteCount)])
  return [
    formatTable(['message', 'lines', 'bytes', 'bytes a request'], rows),
    '',
    `${volume.lineCount} lines, ${volume.byteCount} bytes, ${volume.requestCount} requests and jobs: ${perRequest(volume.lineCount)} lines and ${perRequest(volume.byteCount)} bytes each`
  ].join('\n')
}
