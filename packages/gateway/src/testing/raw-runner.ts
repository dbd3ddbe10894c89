/** A runner for tests; the test writes the bytes of each answer. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'

export type RawExchange = { requestId: string, text: string, socket: Socket, number: number }

export class RawRunner {
  readonly requests: string[] = []
  /** Arrival time of each request, in milliseconds of the monotonic clock. */
  readonly arrivalsMs: number[] = []
  readonly #sockets = new Set<Socket>()
  #connections = 0

  private constructor (private readonly server: Server) {}

  /** Starts a runner on a free port; `answer` is called with each request head. */
  static async create (answer: (exchange: RawExchange) => void): Promise<RawRunner> {
    const server = createServer()
    const runner = new RawRunner(server)
    server.on('connection', (socket) => runner.#serve(socket, answer))
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    return runner
  }

  get address (): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  get connections (): number {
    return this.#connections
  }

  /** The largest number of requests that arrived in any window of this length that ends at `fromMs` or later. */
  maxRequestsWithin (windowMs: number, fromMs: number): number {
    const counts = this.arrivalsMs.map((endMs) => {
      return endMs < fromMs ? 0 : this.arrivalsMs.filter((atMs) => atMs <= endMs && atMs > endMs - windowMs).length
    })
    return Math.max(0, ...counts)
  }

  async close (): Promise<void> {
    for (const socket of this.#sockets) socket.destroy()
    await new Promise((resolve) => this.server.close(resolve))
  }

  #serve (socket: Socket, answer: (exchange: RawExchange) => void): void {
    this.#connections += 1
    this.#sockets.add(socket)
    socket.on('close', () => this.#sockets.delete(socket))
    socket.on('error', () => {})
    socket.on('data', (chunk) => {
      const text = chunk.toString('latin1')
      const requestId = /request-id: (\S+)/i.exec(text)?.[1]
      if (requestId === undefined) return
      this.requests.push(text)
      this.arrivalsMs.push(performance.now())
      answer({ requestId, text, socket, number: this.requests.length })
    })
  }
}
