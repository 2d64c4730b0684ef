import { createLogger } from '../logger'

describe('createLogger', () => {
  it('writes one JSON line with process, slice and fields, and nothing below its level', () => {
    const lines: string[] = []
    const logger = createLogger({ level: 'info', process: 'entry-1', write: line => lines.push(line) })
    logger.child('routing').info('agent chosen', { agent: 'agent-2', waitMs: 3 })
    logger.debug('not written')
    expect(lines).toHaveLength(1)
    expect(JSON.parse(lines[0])).toMatchObject({ level: 'info', process: 'entry-1', slice: 'routing', message: 'agent chosen', agent: 'agent-2', waitMs: 3 })
  })

  it('writes message and fields before the slice', () => {
    const lines: string[] = []
    createLogger({ level: 'info', process: 'entry-1', write: line => lines.push(line) }).child('routing').info('agent chosen', { agent: 'agent-2', waitMs: 3 })
    expect(Object.keys(JSON.parse(lines[0]) as object)).toEqual(['at', 'level', 'process', 'message', 'agent', 'waitMs', 'slice'])
  })
})
