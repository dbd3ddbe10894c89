/**
 * Demo for a first run: starts the stand-ins and three entry hosts as processes on loopback, publishes two small tables, sends
 * one request of each kind and prints the responses. Runs until Ctrl-C; with --once it stops after the requests.
 */
import { startCluster } from './first-run/cluster.mjs'
import { sendTour } from './first-run/tour.mjs'

const once = process.argv.includes('--once')
const cluster = await startCluster()
let stopping = false

async function stop (exitCode) {
  if (stopping) return
  stopping = true
  await cluster.stop()
  process.exit(exitCode)
}

process.on('SIGINT', () => stop(0))
process.on('SIGTERM', () => stop(0))

try {
  await sendTour(cluster)
  if (once) await stop(0)
  console.log('\nRunning. Press Ctrl-C to stop.')
} catch (error) {
  console.error(error)
  await stop(1)
}
