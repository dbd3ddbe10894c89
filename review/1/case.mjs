/**
 * Runners answer streams without a length and without chunks; such an answer ends with its connection. The gateway process that
 * passes them on is killed. A client must not be able to take a part of a stream for the whole one.
 */
import { runCase, hasTrouble, sleep } from '../lib/case.mjs'
import { End, newId, send } from '../lib/client.mjs'
import { Deployment, HOST_NAME } from '../lib/deployment.mjs'
import { Runner } from '../lib/runner.mjs'

const EVENTS = 40
const EVENT_INTERVAL_MS = 50
const STREAMS = 10
const KILL_AFTER_MS = 800
const DEADLINE_MS = 15_000

const routes = [{ name: 'menu-chat', host: HOST_NAME, pathPrefix: '/chat/', routeType: 'streaming', service: 'assistant', timeoutMs: DEADLINE_MS, targetLatencyMs: 500, priority: 1, attempts: 1, resumable: false, gapAimMs: 300 }]
const services = [{ name: 'assistant', maxConnections: 290 }]

/** A stream that ends with its connection: the runner closes it in order after the last event. */
function answerUnframed ({ id, response, runner }) {
  const { socket } = response
  const head = Object.entries({ 'Content-Type': 'text/event-stream', Connection: 'close', ...runner.signed(id) })
  socket.write(`HTTP/1.1 200 OK\r\n${head.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`)
  let event = 0
  const timer = setInterval(() => {
    event += 1
    socket.write(`id: ${event}\ndata: ${id} event ${event} of ${EVENTS}\n\n`)
    if (event < EVENTS) return
    clearInterval(timer)
    socket.end()
  }, EVENT_INTERVAL_MS)
  socket.once('close', () => clearInterval(timer))
}

await runCase(import.meta.url, async ({ record, onStop }) => {
  const deployment = await Deployment.start({ record, hostCount: 3, routes, services })
  onStop(() => deployment.stop())
  for (const index of [0, 1]) {
    deployment.list(await Runner.start({ ip: deployment.runnerIp(index), id: `i-runner${index}`, service: 'assistant', slots: 48, handle: answerUnframed, record }))
  }
  await deployment.startHosts()
  const [host] = deployment.hosts
  const answers = Array.from({ length: STREAMS }, () => send({ address: host.address, path: '/chat/1', id: newId('stream'), body: Buffer.from('{}'), deadlineMs: DEADLINE_MS }))
  await sleep(KILL_AFTER_MS)
  if (hasTrouble) host.signal('SIGKILL')
  await Promise.all(answers.map(({ done }) => done))
  return answers.flatMap((answer) => judge(answer, record))
})

/** MIXED: a success with a body that isn't the runner's whole body; an answer that ends early must not look complete. */
function judge ({ id, status, headers, body, end }, record) {
  const events = body.toString().match(/^id: /gm)?.length ?? 0
  const framing = headers['transfer-encoding'] ?? (headers['content-length'] === undefined ? 'ends with its connection' : 'length')
  record.write(`${id}: status ${status}, ${events} of ${EVENTS} events, body ${framing}, as the client sees it: ${end}`)
  const isSuccess = status === 200 && headers['x-response-signature'] !== undefined && end === End.Complete
  return isSuccess && events < EVENTS ? [`${id} looks complete with ${events} of ${EVENTS} events`] : []
}
