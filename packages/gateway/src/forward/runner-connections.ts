/** Connections to runners: one pool for each runner, dropped when the runner is gone. What they read is bounded. */
import type { Socket } from 'node:net'
import { createFailure, ResultCode, type Failure } from '@figloom/runtime'
import { err, ok, type Result } from 'neverthrow'
import { buildConnector, Pool, type Dispatcher } from 'undici'
import { BoundedClient } from './bounded-client.js'

/** A runner that accepts no connection in this time is taken as unreachable. */
const CONNECT_TIMEOUT_MS = 700
/** Idle connections are closed after this time where the runner doesn't name one. */
const IDLE_MS = 4_000
/** The longest idle time that a runner is taken at its word for. */
const MAX_IDLE_MS = 30_000
/** Distance to the runner's own idle timeout, so that no request crosses its close. */
const IDLE_MARGIN_MS = 1_000
/** Answer heads of runners are small; a larger one is damaged. */
const MAX_HEADER_BYTES = 16_384

/** Error code of a connection that the runner reset. */
export const RESET_CODE = 'RUNNER_RESET'

type RunnerPool = { pool: Pool, address: string }

export type OverlongListener = (runnerId: string, reason: string) => void

export class RunnerConnections {
  readonly #pools = new Map<string, RunnerPool>()

  private constructor (private readonly listener: OverlongListener) {}

  /** @param listener told of runners that send without end, when their connection is closed for it */
  static create (listener: OverlongListener): RunnerConnections {
    return new RunnerConnections(listener)
  }

  /** A runner sends without end. */
  onOverlong (runnerId: string, reason: string): void {
    this.listener(runnerId, reason)
  }

  /** Dispatcher for a runner. It opens a connection for each request that finds none idle: how many run is for the caller to limit. */
  to (runnerId: string, address: string): Result<Dispatcher, Failure> {
    const known = this.#pools.get(runnerId)
    if (known?.address === address) return ok(known.pool)
    if (known !== undefined) this.drop(runnerId)
    return createPool(address, (reason) => this.listener(runnerId, reason)).map((pool) => {
      this.#pools.set(runnerId, { pool, address })
      return pool
    })
  }

  /** Lets requests under way end, then closes the connections of a runner that left the list. */
  drop (runnerId: string): void {
    const known = this.#pools.get(runnerId)
    if (known === undefined) return
    this.#pools.delete(runnerId)
    known.pool.close().catch(() => known.pool.destroy())
  }

  /** Drops the connections of runners that are not among `ids`. */
  retain (ids: ReadonlySet<string>): void {
    for (const id of this.#pools.keys()) {
      if (!ids.has(id)) this.drop(id)
    }
  }

  /** Closes everything at once. */
  async destroy (): Promise<void> {
    const pools = [...this.#pools.values()]
    this.#pools.clear()
    await Promise.all(pools.map(({ pool }) => pool.destroy()))
  }
}

const POOL_OPTIONS: Pool.Options = {
  pipelining: 1,
  headersTimeout: 0,
  bodyTimeout: 0,
  keepAliveTimeout: IDLE_MS,
  keepAliveMaxTimeout: MAX_IDLE_MS,
  keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
  maxHeaderSize: MAX_HEADER_BYTES
}

/** Errors of its connections reach the requests on them; the pool repeats them for nobody. */
function createPool (address: string, onOverlong: (reason: string) => void): Result<Pool, Failure> {
  try {
    const factory = (origin: URL, options: object) => BoundedClient.create(origin, { ...options, connect: createConnector() }, onOverlong)
    const pool = new Pool(`http://${address}`, { ...POOL_OPTIONS, factory })
    pool.on('connectionError', () => {})
    return ok(pool)
  } catch (error) {
    return err(createFailure(ResultCode.BackendUnreachable, `${address}: ${(error as Error).message}`))
  }
}

/**
 * Connects so that a reset is told from an end. The library takes an answer without a length for complete when its
 * connection is reset with this one code; under another code it is a failure.
 */
function createConnector (): buildConnector.connector {
  const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS })
  return (options, callback) => connect(options, (...[error, socket]: buildConnector.CallbackArgs) => {
    if (error !== null || socket === null) return callback(error ?? new Error('no connection'), null)
    markResets(socket)
    callback(null, socket)
  })
}

function markResets (socket: Socket): void {
  socket.prependListener('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'ECONNRESET') error.code = RESET_CODE
  })
}
