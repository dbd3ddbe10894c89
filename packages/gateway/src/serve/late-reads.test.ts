import t from 'tap'
import { Worker } from 'node:worker_threads'
import { createRoute, GatewayFixture } from '../testing/gateway-fixture.js'

/** A caller in a separate thread, which acts while the host's thread is blocked. */
const CALLER = `
const { connect } = require('node:net')
const { workerData: { port, leaves, early, flag }, parentPort } = require('node:worker_threads')
const state = new Int32Array(flag)
const done = () => { Atomics.store(state, 0, 1); Atomics.notify(state, 0) }
const onClose = (text) => parentPort.postMessage({ text })
const open = (onOpen) => {
  const socket = connect(port, '127.0.0.1', () => onOpen(socket))
  let text = ''
  socket.on('data', (chunk) => { text += chunk.toString('latin1') })
  socket.on('error', () => {})
  socket.on('close', () => onClose(text))
}
const send = (socket) => {
  socket.write('GET / HTTP/1.1\\r\\nHost: test\\r\\nRequest-Id: 1\\r\\nDeadline-Ms: 3000\\r\\nConnection: close\\r\\n\\r\\n', () => {
    if (leaves) socket.end()
    setTimeout(done, 50)
  })
}
if (early) open((socket) => {
  parentPort.postMessage('connected')
  parentPort.on('message', () => send(socket))
})
else {
  parentPort.postMessage('connected')
  parentPort.on('message', () => open(send))
}
`
const BLOCKED_MS = 400

/**
 * @param leaves the caller closes its side of the connection once it has sent its request
 * @param early the caller connects before the host's thread is blocked
 */
async function callWhileBusy (leaves: boolean, early = true) {
  const fixture = await GatewayFixture.create([createRoute({})])
  if (early) fixture.context.lag.start()
  const runner = await fixture.addRunner('runner-1', ({ requestId, socket }) => {
    socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\nContent-Length: 2\r\n\r\nok`)
  })
  const flag = new SharedArrayBuffer(4)
  const worker = new Worker(CALLER, { eval: true, workerData: { port: fixture.port, leaves, early, flag } })
  const received = await new Promise<string>((resolve) => {
    worker.on('message', (message: 'connected' | { text: string }) => {
      if (message !== 'connected') return resolve(message.text)
      worker.postMessage('send')
      const startMs = performance.now()
      Atomics.wait(new Int32Array(flag), 0, 0, BLOCKED_MS)
      while (performance.now() - startMs < BLOCKED_MS);
    })
  })
  await new Promise((resolve) => setTimeout(resolve, 100))
  fixture.context.lag.stop()
  await worker.terminate()
  await fixture.close()
  return { requests: runner.requests, received }
}

t.test('a request whose caller disconnected before a busy host read it is sent to no runner', async (t) => {
  t.same((await callWhileBusy(true)).requests, [])
})

t.test('a request on a connection that waited to be accepted is sent to no runner if its caller has disconnected', async (t) => {
  t.same((await callWhileBusy(true, false)).requests, [])
  t.match((await callWhileBusy(false, false)).received, /^HTTP\/1.1 200/)
})

t.test('a request that waited for a busy host is served, with less time left', async (t) => {
  const { requests, received } = await callWhileBusy(false)
  t.match(received, /^HTTP\/1.1 200/)
  const leftMs = Number(/left-ms: (\d+)/i.exec(requests[0] ?? '')?.[1])
  t.ok(leftMs < 3_000 - BLOCKED_MS / 2, `${leftMs} ms`)
})
