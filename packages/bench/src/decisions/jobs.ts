/** Runs the replays of the benchmark on worker threads. */
import { Worker } from 'node:worker_threads'
import type { ScenarioName } from './demand.js'
import type { ReplayResult } from './replay.js'

/** Parameters of one replay. */
export type Job = {
  group: string
  deployment: string
  version: string
  scenario: ScenarioName
  seed: number
  sharedPrefixShare: number
  reportLagMs: number
  /** Overrides the deployment's `moveWeight`. */
  moveWeight?: number
  /** Models of each runner; overrides the version's own placement. */
  placement?: string[][]
}

export type JobResult = { job: Job, result: ReplayResult }

const THREAD_COUNT = 3

/** Runs all jobs and returns their results in the order of the jobs. */
export async function runJobs (jobs: readonly Job[]): Promise<JobResult[]> {
  const results = new Array<JobResult>(jobs.length)
  let next = 0
  const runThread = async () => {
    const worker = new Worker(new URL('./worker.js', import.meta.url))
    for (let index = next++; index < jobs.length; index = next++) {
      results[index] = await runJobOn(worker, jobs[index] as Job)
    }
    await worker.terminate()
  }
  await Promise.all(Array.from({ length: THREAD_COUNT }, runThread))
  return results
}

function runJobOn (worker: Worker, job: Job): Promise<JobResult> {
  return new Promise((resolve, reject) => {
    worker.once('message', (result: ReplayResult) => {
      worker.off('error', reject)
      resolve({ job, result })
    })
    worker.once('error', reject)
    worker.postMessage(job)
  })
}
