/** Operators who apply different documents at the same time through different gateways. */
import { sendWhole } from './sendWhole'
import { soakDocument } from './soakDocument'
import type { LoadContext } from './types'

/** Numbers of concurrent operators to choose from: usually two, sometimes five. */
const OPERATORS = [2, 2, 5]
/** Share of operators who make the change conditional on the highest version they have seen. */
const IF_VERSION_SHARE = 0.5

/**
 * @param context - of the load
 * @param round - number of this race
 */
export async function raceOperators (context: LoadContext, round: number): Promise<void> {
  const { evidence, gateways, random, switches } = context
  const seen = evidence.applies.reduce((version, apply) => Math.max(version, apply.version ?? 0), 0)
  const count = random.pick(OPERATORS)
  await Promise.all(Array.from({ length: count }, async (_, index) => {
    const operator = `operator-${round}-${index}`
    const gateway = gateways.pick()
    const answer = await sendWhole(context, gateway, {
      method: 'POST',
      path: '/admin/v1/configuration',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({
        documentText: JSON.stringify(soakDocument({ mark: round * 10 + index })),
        fileName: `${operator}.jsonc`,
        appliedBy: operator,
        ...(seen > 0 && random.next() < IF_VERSION_SHARE ? { ifVersion: seen } : {})
      })
    })
    const { version, hash } = answer.told === 'whole' ? JSON.parse(answer.text) as { version: number, hash: string } : { version: undefined, hash: undefined }
    if (answer.told === 'whole') switches.onPromise?.({ kind: 'document', gateway: gateway.name })
    evidence.applies.push({ gateway: gateway.name, operator, sentAtMs: answer.sentAtMs, endedAtMs: answer.endedAtMs, status: answer.status, version, hash })
  }))
}
