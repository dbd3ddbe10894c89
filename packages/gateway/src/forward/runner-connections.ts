/** Connections to runners: one pool for each runner, closed when the runner is gone. The bytes read from a runner are limited. */
import { createFailure, ResultCode, type Failure } from '@figloom/runtime'
import { err, ok, type Result } from 'neverthrow'
import { buildConnector, Pool, type Dispatcher } from 'undici'
import { BoundedClient } from './bounded-client.js'
import { markResets } from './connection-reset.js'

/** A runner that accepts no connection within this time is unreachable. */
const CONNECT_TIMEOUT_MS = 700
/** Idle connections are closed after this time if the runner states no keep-alive timeout. */
const IDLE_MS = 4_000
/** Upper bound for a keep-alive timeout that a runner states. */
const MAX_IDLE_MS = 30_000
/** Connections are closed this long before the runner's keep-alive timeout, so that no request is sent while the runner closes them. */
const IDLE_MARGIN_MS = 1_000
/** Runners' answers have small heads; a larger one is damaged. */
const MAX_HEADER_BYTES = 8_192

type RunnerPool = { pool: Pool, address: string }

export type OverlongListener = (runnerId: string, reason: string) => void

export class RunnerConnections {
  readonly #pools = new Map<string, RunnerPool>()

  private constructor (private readonly listener: OverlongListener) {}

  /** @param listener called when a connection is closed because its runner sent more data than a valid answer contains */
  static create (listener: OverlongListener): RunnerConnections {
    return new RunnerConnections(listener)
  }

  /** Reports that a runner sent more data than a valid answer contains. */
  onOverlong (runnerId: string, reason: string): void {
    this.listener(runnerId, reason)
  }

  /** Returns the dispatcher for a runner. It opens a connection whenever none is idle: the code that uses it limits concurrent requests. */
  dispatcherFor (runnerId: string, address: string): Result<Dispatcher, Failure> {
    const known = this.#pools.get(runnerId)
    if (known?.address === address) return ok(known.pool)
    if (known !== undefined) this.drop(runnerId)
    return createPool(address, (reason) => this.listener(runnerId, reason)).map((pool) => {
      this.#pools.set(runnerId, { pool, address })
      return pool
    })
  }

  /** Closes the connections of a runner that left the list, once the requests in progress have ended. */
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

/** Connection errors are reported to the requests on the connection, so the pool's own error event is ignored. */
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

function createConnector (): buildConnector.connector {
  const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS })
  return (options, callback) => connect(options, (...[error, socket]: buildConnector.CallbackArgs) => {
    if (error !== null || socket === null) return callback(error ?? new Error('no connection'), null)
    markResets(socket)
    callback(null, socket)
  })
}
