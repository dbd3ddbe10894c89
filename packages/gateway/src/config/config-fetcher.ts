/** Fetches the configuration from another host if this one can't read it from the platform. */
import type { Clock, Logger } from '@figloom/runtime'
import type { PeerClient } from '../members/types.js'
import type { ConfigState } from './config-state.js'
import type { GatewayConfig } from './types.js'

/** A host first gets this long to read a newer version from the platform, which takes a few milliseconds if that answers. */
const PLATFORM_READ_GRACE_MS = 600
/** Minimum delay between fetches, so that a failed one isn't retried at once. */
const RETRY_DELAY_MS = 500

export type ConfigFetcherParts = {
  clock: Clock
  log: Logger
  config: ConfigState
  peers: PeerClient
  decode: (encoded: Uint8Array) => GatewayConfig | undefined
  /** Puts a configuration into force unless the same or a newer version is in force. */
  onConfig: (config: GatewayConfig, encoded: Uint8Array) => void
}

export class ConfigFetcher {
  /** Since when another host is known to have a newer version in force. */
  #staleSinceMs: number | undefined
  #isFetching = false
  #nextFetchMs = 0

  private constructor (private readonly parts: ConfigFetcherParts) {}

  static create (parts: ConfigFetcherParts): ConfigFetcher {
    return new ConfigFetcher(parts)
  }

  /** Called for every report of another host, with the version that is in force there. */
  onVersion (version: number, peerAddress: string): void {
    const { clock, config, log } = this.parts
    if (version <= config.version) return
    const nowMs = clock.monotonicMs()
    this.#staleSinceMs ??= nowMs
    if (this.#isFetching || nowMs < this.#nextFetchMs || nowMs - this.#staleSinceMs < PLATFORM_READ_GRACE_MS) return
    this.#isFetching = true
    this.#fetch(peerAddress)
      .catch((error: Error) => log.warn('configuration could not be fetched from a host', { peer: peerAddress, version, reason: error.message }))
      .finally(() => {
        this.#isFetching = false
        this.#nextFetchMs = clock.monotonicMs() + RETRY_DELAY_MS
      })
  }

  /** Whether another host has a newer version in force. */
  get isBehind (): boolean {
    return this.#staleSinceMs !== undefined
  }

  /** Called when a configuration was put into force. */
  onAdopted (): void {
    this.#staleSinceMs = undefined
  }

  async #fetch (peerAddress: string): Promise<void> {
    const { peers, decode, onConfig, log } = this.parts
    const encoded = await peers.readConfig(peerAddress)
    const config = encoded.length === 0 ? undefined : decode(encoded)
    if (config === undefined) {
      log.warn('configuration received from a host could not be decoded', { peer: peerAddress, bytes: encoded.length })
      return
    }
    log.info('configuration fetched from a host', { peer: peerAddress, version: config.version })
    onConfig(config, encoded)
  }
}
