import { Registry } from 'prom-client'
import { createUsageWindow } from '../../accounts/limits/usageWindow'
import { readAccountUsage, registerAccountUsage } from '../accountUsage'

describe('recent usage of accounts', () => {
  it('covers a sliding window and drops accounts without requests in it', () => {
    const usageWindow = createUsageWindow(5000)
    usageWindow.add('a', 3, 1, 0)
    usageWindow.add('a', 2, 0, 2000)
    usageWindow.add('b', 9, 0, 4000)
    expect(usageWindow.busiest(5, 4900)).toEqual([{ accountName: 'b', granted: 9, refused: 0 }, { accountName: 'a', granted: 5, refused: 1 }])
    expect(usageWindow.busiest(1, 6000)).toEqual([{ accountName: 'b', granted: 9, refused: 0 }])
    expect(usageWindow.busiest(5, 6000)).toContainEqual({ accountName: 'a', granted: 2, refused: 0 })
    expect(usageWindow.busiest(5, 20_000)).toEqual([])
  })

  it('is read back from the metrics of all gateways, including accounts with special characters in their names', async () => {
    const registries = [[{ accountName: 'a"\\b', granted: 3, refused: 1 }], [{ accountName: 'a"\\b', granted: 2, refused: 0 }, { accountName: 'c', granted: 9, refused: 0 }]].map(read => {
      const registry = new Registry()
      registerAccountUsage(registry, () => read)
      return registry
    })
    const texts = await Promise.all(registries.map(async registry => await registry.metrics()))
    expect(readAccountUsage(texts)).toEqual([{ accountName: 'c', granted: 9, refused: 0 }, { accountName: 'a"\\b', granted: 5, refused: 1 }])
  })
})
