import { createServer } from 'node:net'
import { keepingHandles } from '../lateHandlesReporter'

it('names a server that was left open, by its address', async () => {
  const server = createServer()
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as { port: number }
  expect(keepingHandles(process.report.getReport())).toContainEqual(expect.stringMatching(new RegExp(`^tcp .*:${port}`)))
  server.close()
})
