/** Loads adapters on runners that hold their model: for requests that ask for one, and ahead of demand. */
import type { Clock } from '@figloom/runtime'
import type { EngineSpec } from '../config/types.js'
import type { AdapterReply, AdapterRequest } from '../members/types.js'
import type { RunnerState } from '../runners/runner-table.js'
import type { OrderSender } from './order-sender.js'
import type { AdapterLoad } from './plan-adapters.js'
import type { AdapterCopy } from './runner-inventory.js'
import type { RunnerQueue } from './runner-queue.js'
import { OrderAnswer, OrderKind } from './types.js'

/** Time that the load of an adapter from the weight store takes. */
const ADAPTER_LOAD_MS = 60

const REFUSED: AdapterReply = { accepted: false, readyInMs: 0 }

export class AdapterOrders {
  private constructor (private readonly sender: OrderSender, private readonly clock: Clock) {}

  static create (sender: OrderSender, clock: Clock): AdapterOrders {
    return new AdapterOrders(sender, clock)
  }

  /** Loads an adapter that no request waits for. */
  preload (state: RunnerState, queue: RunnerQueue, { model, adapter }: AdapterLoad): void {
    queue.enqueueDetached(() => this.sender.send(state, queue, { kind: OrderKind.Load, model, adapter }, ADAPTER_LOAD_MS))
  }

  /** Loads an adapter that a request waits for, unless the runner has it already. */
  async load (state: RunnerState, engine: EngineSpec, queue: RunnerQueue, { model, adapter }: AdapterRequest, takesOrders: () => boolean): Promise<AdapterReply> {
    const { inventory } = queue
    if (inventory.pending !== undefined) return REFUSED
    const nowMs = this.clock.monotonicMs()
    const known = inventory.adapter(model, adapter)
    if (known !== undefined) {
      inventory.touchAdapter(model, adapter, nowMs)
      return { accepted: true, readyInMs: Math.max(0, Math.ceil(known.residentFromMs - nowMs)) }
    }
    if (!takesOrders()) return REFUSED
    if (inventory.acceptedOrders === undefined) await this.sender.readReport(state, queue)
    if (!inventory.models.includes(model)) return REFUSED
    if (!await this.#freeSlot(state, engine, queue, model)) return REFUSED
    const answer = await this.sender.send(state, queue, { kind: OrderKind.Load, model, adapter }, ADAPTER_LOAD_MS)
    return isDone(answer) ? { accepted: true, readyInMs: ADAPTER_LOAD_MS } : REFUSED
  }

  /** Unloads the least recently used adapter if the runner has no adapter slot or memory left; false if there is still no room. */
  async #freeSlot (state: RunnerState, engine: EngineSpec, queue: RunnerQueue, model: string): Promise<boolean> {
    const sizeMb = engine.models.get(model)?.adapterSizeMb ?? 0
    if (hasRoom(queue, engine, sizeMb)) return true
    const oldest = leastRecentlyUsed(queue.inventory.adapters)
    if (oldest === undefined) return false
    const answer = await this.sender.send(state, queue, { kind: OrderKind.Unload, model: oldest.model, adapter: oldest.adapter }, 0)
    return isDone(answer) && hasRoom(queue, engine, sizeMb)
  }
}

function hasRoom ({ inventory }: RunnerQueue, engine: EngineSpec, sizeMb: number): boolean {
  return inventory.adapters.length < engine.adapterSlots && inventory.usedMb(engine) + sizeMb <= engine.weightsMb
}

function isDone (answer: OrderAnswer): boolean {
  return answer === OrderAnswer.Accepted || answer === OrderAnswer.AlreadyHolds
}

function leastRecentlyUsed (copies: readonly AdapterCopy[]): AdapterCopy | undefined {
  return copies.reduce<AdapterCopy | undefined>((oldest, copy) => oldest === undefined || copy.lastUsedMs < oldest.lastUsedMs ? copy : oldest, undefined)
}
