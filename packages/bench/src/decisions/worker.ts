/** Worker thread that runs replays. */
import { parentPort } from 'node:worker_threads'
import { DEPLOYMENTS, SMALL, type Deployment } from './deployments.js'
import type { Job } from './jobs.js'
import { replay } from './replay.js'
import { findVersion } from './versions.js'

parentPort?.on('message', (job: Job) => {
  parentPort?.postMessage(replay(deploymentOf(job), findVersion(job.version), job))
})

function deploymentOf (job: Job): Deployment {
  const deployment = [...DEPLOYMENTS, SMALL].find(({ name }) => name === job.deployment) as Deployment
  if (job.moveWeight === undefined) return deployment
  return { ...deployment, pool: { ...deployment.pool, moveWeight: job.moveWeight } }
}
