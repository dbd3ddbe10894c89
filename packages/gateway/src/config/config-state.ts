/** The configuration in force at this host; it is only replaced by a higher version. */
import { RouteTable } from './route-table.js'
import type { CallerLimits, Customer, GatewayConfig, Route, Service } from './types.js'

export class ConfigState {
  #config: GatewayConfig | undefined
  #encoded = new Uint8Array()
  #routes = RouteTable.create([])

  private constructor () {}

  static create (): ConfigState {
    return new ConfigState()
  }

  /**
   * Puts a configuration into force; false if it isn't newer than the one in force.
   * @param encoded the configuration in the platform's encoding, for hosts that can't read it from the platform
   */
  adopt (config: GatewayConfig, encoded: Uint8Array = new Uint8Array()): boolean {
    if (this.#config !== undefined && config.version <= this.#config.version) return false
    this.#config = config
    this.#encoded = Uint8Array.from(encoded)
    this.#routes = RouteTable.create(config.routes)
    return true
  }

  /** The configuration in force in the platform's encoding; empty while none is known. */
  get encoded (): Uint8Array {
    return this.#encoded
  }

  /** 0 while no configuration is known. */
  get version (): number {
    return this.#config?.version ?? 0
  }

  get hasConfig (): boolean {
    return this.#config !== undefined
  }

  get limits (): CallerLimits | undefined {
    return this.#config?.limits
  }

  get services (): ReadonlyMap<string, Service> {
    return this.#config?.services ?? new Map()
  }

  /** Customers by the digest of their key; undefined if callers need no keys. */
  get customersByKey (): ReadonlyMap<string, Customer> | undefined {
    return this.#config?.customersByKey
  }

  findRoute (host: string, target: string): Route | undefined {
    return this.#routes.find(host, target)
  }
}
