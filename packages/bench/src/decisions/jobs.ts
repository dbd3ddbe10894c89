/** Replays of one run of the benchmark, spread over worker threads. */
import { Worker } from 'node:worker_threads'
import type { ScenarioName } from './demand.js'
import type { ReplayResult } from './replay.js'

/** One replay to carry out. */
export type Job = {
  group: string
  deployment: string
  version: string
  scenario: ScenarioName
  seed: number
  sharedPrefixShare: number
  reportLagMs: number
  /** Replaces the deployment's weight of a move. */
  moveWeight?: number
  /** Models of each runner, in place of the version's own placement. */
  placement?: string[][]
}

export type JobResult = { job: Job, result: ReplayResult }

const THREADS = 3

/** Carries out all jobs; results in the order of the jobs. */
export async function runJobs (jobs: readonly Job[]): Promise<JobResult[]> {
  const results = new Array<JobResult>(jobs.length)
  let next = 0
  const runThread = async () => {
    const worker = new Worker(new URL('./worker.js', import.meta.url))
    for (let index = next++; index < jobs.length; index = next++) {
      results[index] = await runOn(worker, jobs[index] as Job)
    }
    await worker.terminate()
  }
  await Promise.all(Array.from({ length: THREADS }, runThread))
  return results
}

function runOn (worker: Worker, job: Job): Promise<JobResult> {
  return new Promise((resolve, reject) => {
    worker.once('message', (result: ReplayResult) => {
      worker.off('error', reject)
      resolve({ job, result })
    })
    worker.once('error', reject)
    worker.postMessage(job)
  })
}
