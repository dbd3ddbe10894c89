/** A runner whose process ends when it begins to answer a certain request, and starts again at the same address. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { RunnerEntry } from '../../runners/types.js'
import { createEntry } from '../../testing/gateway-fixture.js'

const BEGIN_MS = 20
const ANSWER_MS = 60
const RESTART_MS = 400
const ANSWER_HEAD = 'HTTP/1.1 200 OK\r\nSigned: yes\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n'

/** What a runner sees of a request. */
export type ReceivedRequest = { promptParts: readonly string[], target: string }
export type IsDeadly = (request: ReceivedRequest) => boolean

export class CrashingRunner {
  readonly #sockets = new Set<Socket>()
  /** The last request of each connection. */
  readonly #requestIds = new Map<Socket, string>()
  #server: Server
  #port = 0
  #starts = 1
  #closed = false
  /** When deadly requests arrived, in milliseconds of the monotonic clock. */
  readonly deadlyArrivalsMs: number[] = []
  /** When its processes ended. */
  readonly endsMs: number[] = []

  /** @param onRestart called when a new process listens */
  private constructor (readonly id: string, private readonly isDeadly: IsDeadly, private readonly onRestart: () => void) {
    this.#server = this.#createServer()
  }

  static async create (id: string, isDeadly: IsDeadly, onRestart: () => void): Promise<CrashingRunner> {
    const runner = new CrashingRunner(id, isDeadly, onRestart)
    await new Promise<void>((resolve) => runner.#server.listen(0, '127.0.0.1', resolve))
    runner.#port = (runner.#server.address() as AddressInfo).port
    return runner
  }

  entry (): RunnerEntry {
    return createEntry({ id: this.id, address: `127.0.0.1:${this.#port}`, slots: 32, startedUnixMs: this.#starts })
  }

  /** Ends the process as a crash does: its connections close and new ones are refused. */
  crash (): void {
    if (!this.#server.listening) return
    this.endsMs.push(performance.now())
    this.#close()
    setTimeout(() => this.#restart(), RESTART_MS)
  }

  /** Resets the connections on which these requests arrived, as a lost link does. */
  reset (requestIds: ReadonlySet<string>): void {
    for (const [socket, requestId] of this.#requestIds) if (requestIds.has(requestId)) socket.resetAndDestroy()
  }

  /** Ends the runner for good. */
  close (): void {
    this.#closed = true
    this.#close()
  }

  #close (): void {
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  #restart (): void {
    if (this.#closed) return
    this.#starts += 1
    this.#server = this.#createServer()
    this.#server.listen(this.#port, '127.0.0.1', this.onRestart)
  }

  #createServer (): Server {
    return createServer((socket) => {
      this.#sockets.add(socket)
      socket.on('close', () => {
        this.#sockets.delete(socket)
        this.#requestIds.delete(socket)
      })
      socket.on('error', () => {})
      socket.on('data', (chunk) => this.#onRequest(socket, chunk.toString('latin1')))
    })
  }

  #onRequest (socket: Socket, text: string): void {
    const requestId = /request-id: (\S+)/i.exec(text)?.[1] ?? ''
    this.#requestIds.set(socket, requestId)
    const promptParts = /prompt-parts: (\S+)/i.exec(text)?.[1]?.split(',') ?? []
    const target = /^\S+ (\S+)/.exec(text)?.[1] ?? ''
    const isDeadly = this.isDeadly({ promptParts, target })
    if (isDeadly) this.deadlyArrivalsMs.push(performance.now())
    setTimeout(() => isDeadly ? this.#crashAt(socket) : answer(socket, requestId, target), BEGIN_MS)
  }

  /** A caller that has left takes its request from the queue. */
  #crashAt (socket: Socket): void {
    if (!socket.destroyed) this.crash()
  }
}

function answer (socket: Socket, requestId: string, target: string): void {
  if (target.startsWith('/plain/')) {
    socket.write(`HTTP/1.1 200 OK\r\nSigned: yes\r\nRequest-Id: ${requestId}\r\nContent-Length: 2\r\n\r\nok`)
    return
  }
  socket.write(`${ANSWER_HEAD}Request-Id: ${requestId}\r\n\r\n${toChunk('id: 0\ndata: x\n\n')}`)
  setTimeout(() => { socket.write(`${toChunk('id: 1\ndata: x\n\n')}0\r\n\r\n`) }, ANSWER_MS)
}

function toChunk (text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`
}
