/** Stand-in of a sound runner. A case passes `handle`, which answers the requests that the runner runs. */
import { createServer } from 'node:http'

export class Runner {
  up = true
  /** Ids of the requests that it ran, in order. */
  runs = []
  /** Number of orders that it accepted. */
  sequence = 0
  #server
  #sockets = new Set()
  #startedUnixMs = Date.now()

  /**
   * @param handle called with { id, request, body, response, runner } for each request that is run
   * @param order called with an order and the runner; returns the status of the answer
   * @param refuses called with a request and the runner; whether a model or adapter that it names isn't present
   */
  static async start ({ ip, id, service, version = 'v1', slots, models = [], handle, order = () => 400, refuses = () => false, record, zone = 'norte-a' }) {
    const runner = new Runner()
    Object.assign(runner, { ip, id, service, version, slots, models, handle, order, refuses, record, zone })
    runner.#server = createServer((request, response) => runner.#serve(request, response))
    runner.#server.keepAliveTimeout = 20_000
    runner.#server.on('connection', (socket) => {
      runner.#sockets.add(socket)
      socket.once('close', () => runner.#sockets.delete(socket))
    })
    await new Promise((resolve, reject) => runner.#server.once('error', reject).listen(0, ip, resolve))
    runner.port = runner.#server.address().port
    return runner
  }

  /** What it writes into the store of itself. */
  entry () {
    return {
      service: this.service,
      address: `${this.ip}:${this.port}`,
      zone: this.zone,
      version: this.version,
      slots: this.slots,
      state: 'ready',
      coldRemainingMs: 0,
      sequence: 1,
      born: this.#startedUnixMs,
      models: this.models
    }
  }

  /** Headers of an answer that the runner stands for. */
  signed (id) {
    return { 'X-Request-Id': id, 'X-Response-Signature': `${this.id}.${id}`, 'X-Instance-Id': this.id }
  }

  /** Ends at once, as a process that crashes: its connections are reset and new ones refused. */
  crash () {
    this.record.write(`${this.id}: crashes`)
    this.up = false
    for (const socket of this.#sockets) socket.resetAndDestroy()
    this.#server.close()
  }

  stop () {
    this.up = false
    this.#server.closeAllConnections()
    this.#server.close()
  }

  async #serve (request, response) {
    response.on('error', () => {})
    if (request.url === '/report') return this.#report(request, response)
    const id = request.headers['x-request-id']
    const chunks = []
    try {
      for await (const chunk of request) chunks.push(chunk)
    } catch {
      return
    }
    if (request.url === '/order') return this.#takeOrder(JSON.parse(Buffer.concat(chunks)), response)
    if (request.headers['x-expect-instance'] !== this.id || this.refuses(request, this)) {
      response.writeHead(421, { 'X-Request-Id': id, 'X-Instance-Id': this.id, 'X-Not-Executed': '1', 'Content-Length': 0 }).end()
      return
    }
    this.runs.push(id)
    this.record.write(`${this.id}: runs ${id}`)
    this.handle({ id, request, body: Buffer.concat(chunks), response, runner: this })
  }

  #takeOrder (order, response) {
    const status = order.expected !== undefined && order.expected !== this.sequence ? 409 : this.order(order, this)
    if (status === 200 || status === 202) this.sequence += 1
    this.record.write(`${this.id}: order ${order.operation} ${order.model} ${order.adapter ?? ''} of ${order.holder} answered ${status}`)
    response.writeHead(status, { 'Content-Length': 0 }).end()
  }

  #report (request, response) {
    request.resume()
    const report = { stage: 'colocated', models: this.models, busy: this.busy === true, sequence: this.sequence, queued: 0, active: 0, kvUsed: 0, kvTotal: 119_943, handles: 0, born: this.#startedUnixMs }
    response.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify(report))
  }
}
