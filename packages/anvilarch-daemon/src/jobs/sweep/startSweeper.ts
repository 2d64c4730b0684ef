/**
 * Removes expired jobs, files and uploads, slowly and on one gateway of the fleet, so that rows and objects do not accumulate.
 *
 * Each step checks one page of one kind of row. A full pass over 15,000 jobs takes several minutes.
 */
import type { Row } from 'anvilarch-protocol'
import { type LifecycleManager, sleep } from 'anvilarch-utils'
import type { DaemonContext } from '../../context'
import { startSingleLease } from '../../leases/startSingleLease'
import type { Heartbeat, LeaseObserver } from '../../leases/types'
import { JOB_KEYS } from '../rows'
import type { SweepTimes } from './sweepPlan'
import { createSweepSteps } from './sweepSteps'

/** Dependencies of the sweeper. */
export interface SweeperOptions {
  heartbeat: Heartbeat
  observer: LeaseObserver
}

/** One kind of row and the position of the current pass over it. */
interface Sweep {
  prefix: string
  after: string | undefined
  step: (row: Row, times: SweepTimes) => Promise<void>
}

const STEP_INTERVAL_MS = 10_000
const STEP_JITTER = 0.2
const PAGE_ROWS = 200

/**
 * @param context - shared parts of the daemon
 * @param lifecycle - stops the sweeper
 * @param options - heartbeat of this gateway and observer of the others
 */
export async function startSweeper (context: DaemonContext, lifecycle: LifecycleManager, options: SweeperOptions): Promise<void> {
  const { clock, platform, random } = context
  const lease = await startSingleLease(context, lifecycle, { key: JOB_KEYS.sweepLease, ...options })
  const steps = createSweepSteps(context)
  const stopping = new AbortController()
  const sweeps: Sweep[] = [
    { prefix: JOB_KEYS.jobs, after: undefined, step: steps.job },
    { prefix: JOB_KEYS.files, after: undefined, step: steps.file },
    { prefix: JOB_KEYS.uploads, after: undefined, step: steps.upload }
  ]
  let loop: Promise<void> | undefined

  const sweepPage = async (sweep: Sweep): Promise<void> => {
    const document = context.configuration.current()?.document
    if (document === undefined || lease.epoch() === undefined) return
    const times = { wallMs: clock.wallMs(), retentionHours: document.limits.resultRetentionHours }
    const page = await platform.table.scan(sweep.prefix, { after: sweep.after, limit: PAGE_ROWS })
    for (const row of page.rows) {
      if (lease.epoch() === undefined || stopping.signal.aborted) return
      await sweep.step(row, times)
    }
    sweep.after = page.next
  }

  const run = async (): Promise<void> => {
    for (let round = 0; !stopping.signal.aborted; round++) {
      await sleep(clock, random.jitter(STEP_INTERVAL_MS, STEP_JITTER), stopping.signal)
      try {
        await sweepPage(sweeps[round % sweeps.length])
      } catch (error) {
        context.logger.debug('a sweep was put off', { error: String(error) })
      }
    }
  }

  await lifecycle.start({
    name: 'sweeper',
    start: () => { loop = run() },
    stop: async () => {
      stopping.abort()
      await loop
    }
  })
}
