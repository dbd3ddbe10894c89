/** A host that passes requests on: its service for other hosts in front of a table of runners, without membership. */
import { Registry, silentLogger } from '@figloom/runtime'
import { createPeerHandler } from '../front/handlers.js'
import { HttpServer } from '../front/http-server.js'
import { PeerHandler } from '../members/peer-service.js'
import type { MemoryBudgets } from '../memory/memory-budgets.js'
import { createPassOnMetrics } from '../pass-on/metrics.js'
import { PassOnServer } from '../pass-on/pass-on-server.js'
import { FixedPaths } from './fixed-paths.js'
import { freeAddress } from './free-address.js'
import { GatewayFixture } from './gateway-fixture.js'

export class PassingHost extends PeerHandler {
  readonly paths = FixedPaths.create()
  readonly passOn: PassOnServer
  readonly #server: HttpServer
  leaving = false

  private constructor (readonly peerAddress: string, readonly fixture: GatewayFixture) {
    super()
    const { clock, codec, runners, closures, connections, memory } = fixture.context
    this.passOn = PassOnServer.create({
      clock,
      log: silentLogger,
      metrics: createPassOnMetrics(new Registry()),
      codec,
      runners,
      closures,
      connections,
      paths: this.paths,
      memory: memory.hop,
      isLeaving: () => this.leaving
    })
    this.#server = HttpServer.create(createPeerHandler({ handler: this, registry: new Registry(), clock, log: silentLogger, memory }), clock, { requestTimeoutMs: 5_000 })
  }

  static async create (memory?: MemoryBudgets): Promise<PassingHost> {
    const host = new PassingHost(await freeAddress(), await GatewayFixture.create([], undefined, undefined, memory))
    await host.#server.listen(host.peerAddress)
    return host
  }

  override onReport (): never {
    throw new Error('not used')
  }

  override onCheckRequest (): never {
    throw new Error('not used')
  }

  override onAdapterRequest (): never {
    throw new Error('not used')
  }

  override onPermitRequest (): never {
    throw new Error('not used')
  }

  override onTokenRequests (): never {
    throw new Error('not used')
  }

  override onConfigRequest (): never {
    throw new Error('not used')
  }

  override onPassOn (...[request, signal]: Parameters<PeerHandler['onPassOn']>): ReturnType<PeerHandler['onPassOn']> {
    return this.passOn.serve(request, signal)
  }

  /** Connections of other hosts. */
  get connectionCount (): number {
    return this.#server.connectionCount
  }

  /** Breaks all connections of other hosts, as the loss of the process does. */
  kill (): void {
    this.#server.destroy()
  }

  async close (): Promise<void> {
    this.kill()
    await this.fixture.close()
  }
}
