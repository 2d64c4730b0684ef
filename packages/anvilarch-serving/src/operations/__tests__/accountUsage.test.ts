import { Registry } from 'prom-client'
import { createUsageWindow } from '../../accounts/limits/usageWindow'
import { readAccountUsage, registerAccountUsage } from '../accountUsage'

describe('recent use of accounts', () => {
  it('slides over the window, and forgets who has been quiet', () => {
    const uses = createUsageWindow(5000)
    uses.add('a', 3, 1, 0)
    uses.add('a', 2, 0, 2000)
    uses.add('b', 9, 0, 4000)
    expect(uses.busiest(5, 4900)).toEqual([{ accountName: 'b', granted: 9, refused: 0 }, { accountName: 'a', granted: 5, refused: 1 }])
    expect(uses.busiest(1, 6000)).toEqual([{ accountName: 'b', granted: 9, refused: 0 }])
    expect(uses.busiest(5, 6000)).toContainEqual({ accountName: 'a', granted: 2, refused: 0 })
    expect(uses.busiest(5, 20_000)).toEqual([])
  })

  it('is read back from the metrics of all gateways, whatever the name of an account', async () => {
    const registries = [[{ accountName: 'a"\\b', granted: 3, refused: 1 }], [{ accountName: 'a"\\b', granted: 2, refused: 0 }, { accountName: 'c', granted: 9, refused: 0 }]].map(read => {
      const registry = new Registry()
      registerAccountUsage(registry, () => read)
      return registry
    })
    const texts = await Promise.all(registries.map(async registry => await registry.metrics()))
    expect(readAccountUsage(texts)).toEqual([{ accountName: 'c', granted: 9, refused: 0 }, { accountName: 'a"\\b', granted: 5, refused: 1 }])
  })
})
