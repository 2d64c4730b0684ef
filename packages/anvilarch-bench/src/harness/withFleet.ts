/** Starts a fleet for one measurement and stops it in any case. */
import { openFleet } from './openFleet'
import { type Callers, createCallers } from './fleetLoad'
import type { BenchFleet, BenchFleetOptions } from './fleetTypes'
import type { RunContext, VariantRun } from './types'

/** A fleet with clients of its gateways. */
export interface FleetSession {
  fleet: BenchFleet
  callers: Callers
}

/**
 * @param context - of the run
 * @param options - size and settings of the fleet
 * @param body - measurement
 * @returns the result of `body`
 */
export async function withFleet (context: RunContext, options: BenchFleetOptions, body: (session: FleetSession) => Promise<VariantRun>): Promise<VariantRun> {
  const fleet = await openFleet(context, options)
  const callers = createCallers({
    clock: context.clock,
    origins: fleet.gateways.map(gateway => gateway.origin),
    model: fleet.model,
    lookupPrefix: `/services/${fleet.services.plain}`
  })
  try {
    return await body({ fleet, callers })
  } finally {
    await callers.close()
    await fleet.stop()
  }
}
