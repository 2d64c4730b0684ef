import { createServer } from 'node:net'
import { keepingHandles } from '../lateHandlesReporter'

it('reports the address of a server that was not closed', async () => {
  const server = createServer()
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as { port: number }
  expect(keepingHandles(process.report.getReport())).toContainEqual(expect.stringMatching(new RegExp(`^tcp .*:${port}`)))
  server.close()
})
