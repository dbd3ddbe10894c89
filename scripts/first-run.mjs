/**
 * The first run: starts the stand-ins and three entry hosts as processes on loopback, publishes two small tables, sends
 * one request of each kind, and prints what comes back. Ctrl-C, or --once after the requests, ends everything.
 */
import { startCluster } from './first-run/cluster.mjs'
import { sendTour } from './first-run/tour.mjs'

const once = process.argv.includes('--once')
const cluster = await startCluster()
let ending = false

async function end (exitCode) {
  if (ending) return
  ending = true
  await cluster.stop()
  process.exit(exitCode)
}

process.on('SIGINT', () => end(0))
process.on('SIGTERM', () => end(0))

try {
  await sendTour(cluster)
  if (once) await end(0)
  console.log('\nRunning. Ctrl-C ends everything.')
} catch (error) {
  console.error(error)
  await end(1)
}
