/** Asks whoever holds the lease on orders for an adapter, once for all requests that wait for it. */
import type { Clock, Logger } from '@figloom/runtime'
import type { PeerCalls } from '../members/types.js'
import type { RunnerTable } from '../runners/runner-table.js'
import { AdapterLoader } from '../serve/types.js'
import type { OrderDesk } from './order-desk.js'

export type AdapterRequestParts = {
  clock: Clock
  log: Logger
  runners: RunnerTable
  desk: OrderDesk
  peers: PeerCalls
  /** This host may give orders itself. */
  mayOrder: () => boolean
  /** Peer address of the host that says it holds the lease. */
  holderAddress: () => string | undefined
}

export class AdapterRequests extends AdapterLoader {
  readonly #waiting = new Map<string, Promise<boolean>>()

  private constructor (private readonly parts: AdapterRequestParts) {
    super()
  }

  static create (parts: AdapterRequestParts): AdapterRequests {
    return new AdapterRequests(parts)
  }

  override ensure (runnerId: string, model: string, adapter: string, timeoutMs: number): Promise<boolean> {
    const key = `${runnerId}\n${model}\n${adapter}`
    const waiting = this.#waiting.get(key) ?? this.#start(key, runnerId, model, adapter)
    return Promise.race([waiting, this.parts.clock.sleep(timeoutMs).then(() => false)])
  }

  #start (key: string, runnerId: string, model: string, adapter: string): Promise<boolean> {
    const started = this.#ask(runnerId, model, adapter).finally(() => this.#waiting.delete(key))
    this.#waiting.set(key, started)
    return started
  }

  async #ask (runnerId: string, model: string, adapter: string): Promise<boolean> {
    const { clock, runners, log } = this.parts
    try {
      const reply = await this.#order({ runnerId, model, adapter })
      if (!reply.accepted) return false
      await clock.sleep(reply.readyInMs)
      runners.markResident(runnerId, model, adapter, clock.monotonicMs())
      return true
    } catch (error) {
      log.warn('adapter could not be asked for', { runner: runnerId, model, adapter, reason: (error as Error).message })
      return false
    }
  }

  #order (request: { runnerId: string, model: string, adapter: string }) {
    if (this.parts.mayOrder()) return this.parts.desk.ensureAdapter(request)
    const address = this.parts.holderAddress()
    if (address === undefined) return Promise.resolve({ accepted: false, readyInMs: 0 })
    return this.parts.peers.ensureAdapter(address, request)
  }
}
