/** The listeners beside the callers' one: for other hosts and metrics, for the readiness check, for lookups. */
import type { Clock, Registry } from '@figloom/runtime'
import type { PeerHandler } from '../members/peer-service.js'
import type { GatewaySettings, LookupWire } from '../types.js'
import { createPathHandler, createPeerHandler } from './handlers.js'
import { HttpServer } from './http-server.js'

/** Messages of hosts come whole within this time, also over the narrowest links. */
const SIDE_REQUEST_TIMEOUT_MS = 5_000

export type SideListenerOptions = {
  settings: GatewaySettings
  wire: LookupWire
  registry: Registry
  clock: Clock
  peers: PeerHandler
  ready: () => boolean
  /** Caller addresses of hosts that callers may be sent to; none where nobody is known to be ready. */
  lookup: () => string[]
  /** Time for which callers may keep an answer. */
  lookupTtlMs: () => number
}

export class SideListeners {
  readonly #servers: HttpServer[] = []

  private constructor (private readonly parts: SideListenerOptions) {}

  static create (parts: SideListenerOptions): SideListeners {
    return new SideListeners(parts)
  }

  async open (): Promise<void> {
    const { settings, wire, registry, clock, peers, ready } = this.parts
    await this.#listen(createPeerHandler(peers, registry), settings.peerListener)
    await this.#listen(createPathHandler(wire.readinessPath, clock, () => textAnswer(ready())), settings.readinessListener)
    await this.#listen(createPathHandler(wire.lookupPath, clock, () => this.#answerLookup()), settings.lookupListener)
  }

  destroy (): void {
    for (const server of this.#servers) server.destroy()
  }

  /** A listener without an address isn't opened. */
  async #listen (handler: Parameters<typeof HttpServer.create>[0], address: string | undefined): Promise<void> {
    if (address === undefined) return
    const server = HttpServer.create(handler, SIDE_REQUEST_TIMEOUT_MS)
    this.#servers.push(server)
    await server.listen(address)
  }

  #answerLookup () {
    const { lookup, lookupTtlMs, wire } = this.parts
    const addresses = lookup()
    if (addresses.length === 0) return textAnswer(false)
    return { status: 200, body: wire.formatLookup(addresses, lookupTtlMs()), contentType: 'application/json' }
  }
}

function textAnswer (good: boolean) {
  return { status: good ? 200 : 503, body: good ? 'ready\n' : 'not ready\n', contentType: 'text/plain' }
}
