/** Operators who apply different documents at the same time through different gateways. */
import { sendRequest } from './sendRequest'
import { soakDocument } from './soakDocument'
import type { LoadContext } from './types'

/** Numbers of concurrent operators to choose from: usually two, sometimes five. */
const OPERATOR_COUNTS = [2, 2, 5]
/** Share of operators who make the change conditional on the highest version they have seen. */
const IF_VERSION_SHARE = 0.5

/**
 * @param context - of the load
 * @param round - number of the round
 */
export async function raceOperators (context: LoadContext, round: number): Promise<void> {
  const { evidence, gateways, random, switches } = context
  const seen = evidence.applies.reduce((version, apply) => Math.max(version, apply.version ?? 0), 0)
  const count = random.pick(OPERATOR_COUNTS)
  await Promise.all(Array.from({ length: count }, async (_, index) => {
    const operator = `operator-${round}-${index}`
    const gateway = gateways.pick()
    const result = await sendRequest(context, gateway, {
      method: 'POST',
      path: '/admin/v1/configuration',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({
        documentText: JSON.stringify(soakDocument({ variant: round * 10 + index })),
        fileName: `${operator}.jsonc`,
        appliedBy: operator,
        ...(seen > 0 && random.next() < IF_VERSION_SHARE ? { ifVersion: seen } : {})
      })
    })
    const { version, hash } = result.told === 'whole' ? JSON.parse(result.text) as { version: number, hash: string } : { version: undefined, hash: undefined }
    if (result.told === 'whole') switches.onAccepted?.({ kind: 'document', gateway: gateway.name })
    evidence.applies.push({ gateway: gateway.name, operator, sentAtMs: result.sentAtMs, endedAtMs: result.endedAtMs, status: result.status, version, hash })
  }))
}
