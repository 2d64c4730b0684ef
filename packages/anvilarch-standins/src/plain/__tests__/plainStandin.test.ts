import { call, callForJson } from '../../__fixtures__/callStandin'
import { startLedgerStandin } from '../../ledger/ledgerStandin'
import { expectedPlainAnswer, startPlainStandin } from '../plainStandin'

describe('startPlainStandin', () => {
  test('responds to any method and path, and records each execution', async () => {
    const plain = await startPlainStandin({ name: 'plain-1' })
    const response = await callForJson(`${plain.url}/orders?now=1`, { method: 'POST', body: 'text', headers: { 'x-request-id': 'r1', 'x-attempt-id': 'a1' } })
    expect(response).toEqual({ path: '/orders', requestId: 'r1', answer: expectedPlainAnswer('POST', '/orders', 'text') })
    expect(plain.ledger().executions).toMatchObject([{ requestId: 'r1', attemptId: 'a1', state: 'completed', endpoint: 'plain-1' }])
    await plain.close()
  })

  test('reports a request that crashes it to the collector before it runs', async () => {
    // Guards against a request that ran twice being counted once, because the record of the crashed execution was lost.
    const ledger = await startLedgerStandin()
    const plain = await startPlainStandin({ name: 'plain-1', ledgerUrl: ledger.url, faults: { crashOn: 'poison' } })
    await expect(call(`${plain.url}/poison`, { headers: { 'x-request-id': 'r1' } })).rejects.toThrow()
    expect(plain.crashed()).toBe(true)
    expect(await callForJson(`${ledger.url}/ledger?request=r1`)).toMatchObject({ executions: [{ endpoint: 'plain-1', state: 'running' }] })
    await ledger.close()
  })
})
