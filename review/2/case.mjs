/**
 * Runners answer top-ups without a length; such an answer ends with its connection. Some connections are reset in the middle of the
 * body. A client must not get the part as the whole answer.
 */
import { runCase, hasTrouble, sleep } from '../lib/case.mjs'
import { End, newId, send } from '../lib/client.mjs'
import { Deployment, HOST_NAME } from '../lib/deployment.mjs'
import { Runner } from '../lib/runner.mjs'

const TOPUPS = 100
const INTERVAL_MS = 50
/** One answer in this many is reset. */
const RESET_ONE_IN = 4
const WORK_MS = 40
const DEADLINE_MS = 2_500
const LINES = 40

const routes = [{ name: 'plan-topup', host: HOST_NAME, pathPrefix: '/topup/', routeType: 'non_idempotent', service: 'plans', timeoutMs: DEADLINE_MS, targetLatencyMs: 193, priority: 1, attempts: 1 }]
const services = [{ name: 'plans', maxConnections: 96 }]

const wholeBody = (id) => `receipt of ${id}\n`.repeat(LINES)

function topUp ({ id, response, runner }) {
  const { socket } = response
  const isReset = hasTrouble && runner.runs.length % RESET_ONE_IN === 0
  setTimeout(() => {
    const head = Object.entries({ 'Content-Type': 'text/plain', Connection: 'close', ...runner.signed(id) })
    const text = wholeBody(id)
    socket.write(`HTTP/1.1 200 OK\r\n${head.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n${isReset ? text.slice(0, text.length / 2) : text}`)
    if (!isReset) return socket.end()
    runner.record.write(`${runner.id}: its connection is reset in the middle of the answer to ${id}`)
    socket.resetAndDestroy()
  }, WORK_MS)
}

await runCase(import.meta.url, async ({ record, onStop }) => {
  const deployment = await Deployment.start({ record, hostCount: 3, routes, services })
  onStop(() => deployment.stop())
  for (const index of [0, 1, 2]) {
    deployment.list(await Runner.start({ ip: deployment.runnerIp(index), id: `i-plans${index}`, service: 'plans', slots: 6, handle: topUp, record }))
  }
  await deployment.startHosts()
  const answers = []
  for (let index = 0; index < TOPUPS; index += 1) {
    answers.push(send({ address: deployment.hosts[index % 3].address, path: '/topup/1', id: newId('topup'), body: Buffer.from('{"topup":1}'), deadlineMs: DEADLINE_MS }))
    await sleep(INTERVAL_MS)
  }
  await Promise.all(answers.map(({ done }) => done))
  return answers.flatMap((answer) => judge(answer, record))
})

/** MIXED: a success with a body that isn't the runner's whole body; an answer that is reset on the way isn't complete. */
function judge ({ id, status, headers, body, end }, record) {
  const whole = wholeBody(id).length
  record.write(`${id}: status ${status}, ${body.length} bytes, as the client sees it: ${end}`)
  const isSuccess = status === 200 && headers['x-response-signature'] !== undefined && end === End.Complete
  return isSuccess && body.length < whole ? [`${id} is a success with ${body.length} of the ${whole} bytes of its answer`] : []
}
