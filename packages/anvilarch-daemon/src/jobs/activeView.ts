/**
 * Local view of the active jobs. One page is read at each poll, so that the cost of a poll does not grow with the number of
 * jobs. A page replaces the entries of the view in its range of keys.
 */
import { ROW_KEYS, type Row, type ScanPage } from 'anvilarch-protocol'
import { type ActiveRow, parseRow } from './rows'

/** The view and the start of the next page. */
export interface ActiveView {
  jobs: ReadonlyMap<string, ActiveRow>
  /** Key after which the next page starts; undefined for the first page. */
  after: string | undefined
  /** Number of times that the whole range was read. */
  rounds: number
}

/** View before the first page was read. */
export const EMPTY_VIEW: ActiveView = { jobs: new Map(), after: undefined, rounds: 0 }

/** Result of reading a page. */
export interface ViewStep {
  view: ActiveView
  /** Jobs of the view that are missing from the page. */
  ended: string[]
}

/**
 * Merges a page into the view. An active row is written once and deleted once, so a job of the view that is missing from the
 * range of the page has ended.
 *
 * @param view - view before the page
 * @param page - page read after `view.after`
 * @returns view after the page
 */
export function afterPage (view: ActiveView, page: ScanPage): ViewStep {
  const inPage = new Map(page.rows.map(row => [row.key, row]))
  const jobs = new Map<string, ActiveRow>()
  const ended: string[] = []
  for (const [jobId, job] of view.jobs) {
    const key = ROW_KEYS.activeJob(jobId)
    if (!isInRange(key, view.after, page.next) || inPage.has(key)) jobs.set(jobId, job)
    else ended.push(jobId)
  }
  for (const row of page.rows) addJob(jobs, row)
  const rounds = page.next === undefined ? view.rounds + 1 : view.rounds
  return { view: { jobs, after: page.next, rounds }, ended }
}

function isInRange (key: string, after: string | undefined, last: string | undefined): boolean {
  return (after === undefined || key > after) && (last === undefined || key <= last)
}

function addJob (jobs: Map<string, ActiveRow>, row: Row): void {
  const jobId = row.key.slice(ROW_KEYS.activeJobs.length)
  if (!jobs.has(jobId)) jobs.set(jobId, parseRow<ActiveRow>(row.value))
}

/**
 * @param view - view of the active jobs
 * @param jobId - id of a job that has ended
 * @returns view without the job
 */
export function withoutJob (view: ActiveView, jobId: string): ActiveView {
  if (!view.jobs.has(jobId)) return view
  const jobs = new Map(view.jobs)
  jobs.delete(jobId)
  return { ...view, jobs }
}
