import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import t, { type Test } from 'tap'
import { BackendClient } from './backend-client.js'

const OPTIONS = { maxConnectionsPerServer: 4, connectTimeoutMs: 2000, keepAliveMs: 4000 }

async function listen (t: Test, onConnection: (socket: Socket) => void): Promise<string> {
  const server: Server = createServer(onConnection)
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => server.close())
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`
}

function createClient (t: Test): BackendClient {
  const client = BackendClient.create(OPTIONS)
  t.teardown(() => client.destroy())
  return client
}

function post (baseUrl: string, signal = new AbortController().signal) {
  return { baseUrl, path: '/book', method: 'POST', headers: {}, body: '{}', signal }
}

t.test('a refused connection: the request did not run', async (t) => {
  const server = createServer()
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  await new Promise((resolve) => server.close(resolve))
  const result = await createClient(t).exchange(post(`http://127.0.0.1:${port}`))
  t.equal(result._unsafeUnwrapErr().failure.ran, 'no')
})

t.test('a reset after bytes were sent: unknown whether the request ran', async (t) => {
  const url = await listen(t, (socket) => socket.once('data', () => socket.resetAndDestroy()))
  const result = await createClient(t).exchange(post(url))
  t.equal(result._unsafeUnwrapErr().failure.ran, 'unknown')
})

t.test('a timeout after bytes were sent: unknown whether the request ran', async (t) => {
  const abort = new AbortController()
  const url = await listen(t, (socket) => socket.once('data', () => abort.abort(new DOMException('late', 'TimeoutError'))))
  const result = await createClient(t).exchange(post(url, abort.signal))
  const { failure, timedOut } = result._unsafeUnwrapErr()
  t.equal(failure.ran, 'unknown')
  t.ok(timedOut)
})

t.test('an abort before a connection is free: the request did not run', async (t) => {
  const client = BackendClient.create({ ...OPTIONS, maxConnectionsPerServer: 1 })
  t.teardown(() => client.destroy())
  let bytes = 0
  let signalFirstArrived = () => {}
  const firstArrived = new Promise<void>((resolve) => { signalFirstArrived = resolve })
  const url = await listen(t, (socket) => socket.on('data', (chunk) => {
    bytes += chunk.length
    signalFirstArrived()
  }))
  const first = new AbortController()
  client.exchange(post(url, first.signal))
  await firstArrived
  const bytesOfFirstRequest = bytes
  const abort = new AbortController()
  const second = client.exchange(post(url, abort.signal))
  abort.abort()
  t.equal((await second)._unsafeUnwrapErr().failure.ran, 'no')
  first.abort()
  await new Promise((resolve) => setTimeout(resolve, 50))
  t.equal(bytes, bytesOfFirstRequest, 'the second request is never sent')
})

t.test('with dedicated connections, a server that closes after each answer causes no failures', async (t) => {
  let answers = 0
  const url = await listen(t, (socket) => socket.on('data', () => {
    answers += 1
    socket.end('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
  }))
  const client = createClient(t)
  for (let index = 0; index < 3; index++) {
    const answer = (await client.exchange({ ...post(url), dedicatedConnection: true }))._unsafeUnwrap()
    t.equal(await answer.body.text(), 'ok')
  }
  t.equal(answers, 3)
})
