/** Fetches the configuration from another host where this one can't read it from the platform. */
import type { Clock, Logger } from '@figloom/runtime'
import type { PeerCalls } from '../members/types.js'
import type { ConfigState } from './config-state.js'
import type { GatewayConfig } from './types.js'

/** The host's own read comes first: it takes a few milliseconds where the platform answers. */
const OWN_READ_MS = 600
/** Pause behind a fetch that failed. */
const RETRY_MS = 500

export type ConfigPassingParts = {
  clock: Clock
  log: Logger
  config: ConfigState
  peers: PeerCalls
  decode: (encoded: Uint8Array) => GatewayConfig | undefined
  /** Puts a configuration into force unless a newer one is. */
  onConfig: (config: GatewayConfig, encoded: Uint8Array) => void
}

export class ConfigPassing {
  /** Since when a newer version than the one in force is known of. */
  #behindSinceMs: number | undefined
  #busy = false
  #dueMs = 0

  private constructor (private readonly parts: ConfigPassingParts) {}

  static create (parts: ConfigPassingParts): ConfigPassing {
    return new ConfigPassing(parts)
  }

  /** Another host has a version in force. */
  onVersion (version: number, peerAddress: string): void {
    const { clock, config, log } = this.parts
    if (version <= config.version) return
    const nowMs = clock.monotonicMs()
    this.#behindSinceMs ??= nowMs
    if (this.#busy || nowMs < this.#dueMs || nowMs - this.#behindSinceMs < OWN_READ_MS) return
    this.#busy = true
    this.#fetch(peerAddress)
      .catch((error: Error) => log.warn('configuration could not be fetched', { peer: peerAddress, version, reason: error.message }))
      .finally(() => {
        this.#busy = false
        this.#dueMs = clock.monotonicMs() + RETRY_MS
      })
  }

  /** A configuration was put into force. */
  onAdopted (): void {
    this.#behindSinceMs = undefined
  }

  async #fetch (peerAddress: string): Promise<void> {
    const { peers, decode, onConfig, log } = this.parts
    const encoded = await peers.readConfig(peerAddress)
    const config = encoded.length === 0 ? undefined : decode(encoded)
    if (config === undefined) {
      log.warn('configuration of a host can not be read', { peer: peerAddress, bytes: encoded.length })
      return
    }
    log.info('configuration fetched from a host', { peer: peerAddress, version: config.version })
    onConfig(config, encoded)
  }
}
