/** Limits of a server for clients that no test reaches. */
import type { ClientServerOptions } from '../clientServer'

export const AMPLE_LIMITS: Pick<ClientServerOptions, 'shares' | 'logRateLimiter' | 'onNoRoom'> = {
  shares: { connections: 10_000, requestBytes: 1_000_000_000 },
  logRateLimiter: { tryAcquire: () => true },
  onNoRoom: (_request, response) => { response.destroy() }
}
