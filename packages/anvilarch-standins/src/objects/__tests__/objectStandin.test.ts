import { call, callForJson } from '../../__fixtures__/callStandin'
import { type ObjectStandin, startObjectStandin } from '../objectStandin'

describe('startObjectStandin', () => {
  let objects: ObjectStandin

  beforeEach(async () => { objects = await startObjectStandin() })
  afterEach(async () => { await objects.close() })

  const put = async (name: string, body: string): Promise<number> => (await call(`${objects.url}/objects/${name}`, { method: 'PUT', body })).status

  test('creates an object once and does not overwrite it', async () => {
    expect(await put('files/f/000000', 'first')).toBe(201)
    expect(await put('files/f/000000', 'second')).toBe(200)
    expect((await call(`${objects.url}/objects/files/f/000000`)).text).toBe('first')
  })

  test('serves a range, and responds with 416 when it is outside the object', async () => {
    await put('a', 'hello')
    const part = await call(`${objects.url}/objects/a`, { headers: { range: 'bytes=1-2' } })
    expect([part.status, part.text, part.headers['content-range']]).toEqual([206, 'el', 'bytes 1-2/5'])
    expect((await call(`${objects.url}/objects/a`, { headers: { range: 'bytes=5-9' } })).status).toBe(416)
  })

  test('responds with 404 for an absent or deleted object', async () => {
    await put('a', 'hello')
    expect((await call(`${objects.url}/objects/a`, { method: 'DELETE' })).status).toBe(204)
    expect((await call(`${objects.url}/objects/a`)).status).toBe(404)
  })

  test('lists the names of a prefix in pages', async () => {
    for (const name of ['r/2', 'r/1', 'q/1', 'r/3']) await put(name, name)
    const first = await callForJson(`${objects.url}/list?prefix=r/&limit=2`)
    expect(first).toEqual({ names: ['r/1', 'r/2'], next: 'r/2' })
    expect(await callForJson(`${objects.url}/list?prefix=r/&after=r/2&limit=2`)).toEqual({ names: ['r/3'] })
  })
})
