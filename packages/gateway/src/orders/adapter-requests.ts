/** Requests the load of an adapter from the lease holder, once for all requests that wait for the same adapter. */
import type { Clock, Logger } from '@figloom/runtime'
import type { PeerClient } from '../members/types.js'
import type { RunnerTable } from '../runners/runner-table.js'
import { AdapterLoader } from '../serve/types.js'
import type { OrderDispatcher } from './order-dispatcher.js'

export type AdapterRequestParts = {
  clock: Clock
  log: Logger
  runners: RunnerTable
  dispatcher: OrderDispatcher
  peers: PeerClient
  /** Whether this host holds the lease and may send orders itself. */
  mayOrder: () => boolean
  /** Peer address of the host that reports itself as the lease holder. */
  holderAddress: () => string | undefined
}

export class AdapterRequests extends AdapterLoader {
  readonly #inProgress = new Map<string, Promise<boolean>>()

  private constructor (private readonly parts: AdapterRequestParts) {
    super()
  }

  static create (parts: AdapterRequestParts): AdapterRequests {
    return new AdapterRequests(parts)
  }

  override ensure (runnerId: string, model: string, adapter: string, timeoutMs: number): Promise<boolean> {
    const key = `${runnerId}\n${model}\n${adapter}`
    const load = this.#inProgress.get(key) ?? this.#startLoad(key, runnerId, model, adapter)
    return Promise.race([load, this.parts.clock.sleep(timeoutMs).then(() => false)])
  }

  #startLoad (key: string, runnerId: string, model: string, adapter: string): Promise<boolean> {
    const started = this.#load(runnerId, model, adapter).finally(() => this.#inProgress.delete(key))
    this.#inProgress.set(key, started)
    return started
  }

  async #load (runnerId: string, model: string, adapter: string): Promise<boolean> {
    const { clock, runners, log } = this.parts
    try {
      const reply = await this.#sendRequest({ runnerId, model, adapter })
      if (!reply.accepted) return false
      await clock.sleep(reply.readyInMs)
      runners.markResident(runnerId, model, adapter, clock.monotonicMs())
      return true
    } catch (error) {
      log.warn('adapter request failed', { runner: runnerId, model, adapter, reason: (error as Error).message })
      return false
    }
  }

  #sendRequest (request: { runnerId: string, model: string, adapter: string }) {
    if (this.parts.mayOrder()) return this.parts.dispatcher.ensureAdapter(request)
    const address = this.parts.holderAddress()
    if (address === undefined) return Promise.resolve({ accepted: false, readyInMs: 0 })
    return this.parts.peers.ensureAdapter(address, request)
  }
}
