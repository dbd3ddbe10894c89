/** The listeners other than the one for callers: for other hosts and metrics, for the readiness check, and for lookups. */
import type { Clock, Logger, Registry } from '@figloom/runtime'
import type { PeerHandler } from '../members/peer-service.js'
import type { MemoryBudgets } from '../memory/memory-budgets.js'
import type { GatewaySettings, LookupWire } from '../types.js'
import { shareOfHosts, shareOfLookups, shareOfReadiness, type ConnectionShare } from './connection-room.js'
import { createPathHandler, createPeerHandler } from './handlers.js'
import { HttpServer, type RequestHandler } from './http-server.js'
import { ListenerName, type LimitedCallers } from './limited-callers.js'
import type { ListenerOpener } from './listener-opener.js'

/** Long enough for the largest message from another host over a slow link. */
const SIDE_REQUEST_TIMEOUT_MS = 5_000

export type SideListenerOptions = {
  settings: GatewaySettings
  wire: LookupWire
  registry: Registry
  clock: Clock
  log: Logger
  /** Limits what is kept of the messages of all hosts. */
  memory: MemoryBudgets
  limited: LimitedCallers
  peers: PeerHandler
  ready: () => boolean
  /** Caller addresses of the hosts that callers may use; empty if no host is known to be ready. */
  lookup: () => string[]
  /** Time for which callers may cache a lookup's answer. */
  lookupTtlMs: () => number
}

type SideListener = {
  name: ListenerName
  address: string | undefined
  share: ConnectionShare
  handler: RequestHandler
}

export class SideListeners {
  readonly #servers: HttpServer[] = []

  private constructor (private readonly options: SideListenerOptions) {}

  static create (options: SideListenerOptions): SideListeners {
    return new SideListeners(options)
  }

  async open (opener: ListenerOpener): Promise<void> {
    const { settings, wire, registry, clock, log, memory, peers, ready } = this.options
    const { peerListener, readinessListener, lookupListener, maxDescriptors } = settings
    await this.#listen(opener, {
      name: ListenerName.Hosts,
      address: peerListener,
      share: shareOfHosts(maxDescriptors),
      handler: createPeerHandler({ handler: peers, registry, clock, log, memory })
    })
    await this.#listen(opener, {
      name: ListenerName.Readiness,
      address: readinessListener,
      share: shareOfReadiness(),
      handler: createPathHandler(wire.readinessPath, clock, () => readinessAnswer(ready()))
    })
    await this.#listen(opener, {
      name: ListenerName.Lookups,
      address: lookupListener,
      share: shareOfLookups(maxDescriptors),
      handler: createPathHandler(wire.lookupPath, clock, () => this.#answerLookup())
    })
  }

  /** Closes all listeners and their connections, after `maxMs` at the latest. */
  async close (maxMs: number): Promise<void> {
    await Promise.all(this.#servers.map(async (server) => {
      await server.closeListener(maxMs / 2)
      await server.closeConnections(maxMs / 2)
    }))
  }

  destroy (): void {
    for (const server of this.#servers) server.destroy()
  }

  /** Opens a listener, unless it has no address. */
  async #listen (opener: ListenerOpener, { name, address, share, handler }: SideListener): Promise<void> {
    if (address === undefined) return
    const { clock, memory, limited } = this.options
    const server = HttpServer.create(handler, clock, {
      requestTimeoutMs: SIDE_REQUEST_TIMEOUT_MS,
      share,
      memory: memory.messages,
      onForRoom: (event) => limited.onRoom(name, event),
      onWait: (reason, callerAddress) => limited.onWait(name, reason, callerAddress)
    })
    this.#servers.push(server)
    await opener.open(() => server.listen(address))
  }

  #answerLookup () {
    const { lookup, lookupTtlMs, wire } = this.options
    const addresses = lookup()
    if (addresses.length === 0) return readinessAnswer(false)
    return { status: 200, body: wire.formatLookup(addresses, lookupTtlMs()), contentType: 'application/json' }
  }
}

function readinessAnswer (ready: boolean) {
  return { status: ready ? 200 : 503, body: ready ? 'ready\n' : 'not ready\n', contentType: 'text/plain' }
}
