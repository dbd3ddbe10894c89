/**
 * Keeps one request from being sent for a customer who no longer holds its key: a newer version of the configuration may remove a
 * key, or give it to another customer, while requests with it wait for room, a load, a permit or a connection.
 */
import type { Failure } from '@figloom/runtime'
import type { Customer, Route } from '../config/types.js'
import type { ForwardedCaller } from '../forward/types.js'
import { CallerKind, identifyCaller, type IdentifiedCaller } from './identify.js'
import { createKeyRefusal } from './key-refusal.js'

export type KeyGuardParts = {
  config: { readonly customersByKey: ReadonlyMap<string, Customer> | undefined }
  /** Whether a newer configuration would be known here. */
  isConfigFresh: () => boolean
  route: Route
  keyDigest: string | undefined
}

export class KeyGuard {
  private constructor (private readonly parts: KeyGuardParts) {}

  static create (parts: KeyGuardParts): KeyGuard {
    return new KeyGuard(parts)
  }

  /** Whose key it is by the configuration in force now. */
  get customer (): Customer | undefined {
    return this.#identify().customer
  }

  get maySend (): boolean {
    return this.#identify().kind !== CallerKind.Unknown
  }

  /** Why the request may not be sent; undefined if it may. */
  refusal (): Failure | undefined {
    return this.maySend ? undefined : createKeyRefusal(this.parts.keyDigest !== undefined, this.parts.isConfigFresh())
  }

  /** What a runner is told of the caller. */
  forwarded (): ForwardedCaller | undefined {
    const { kind, customer } = this.#identify()
    return kind === CallerKind.Unchecked ? undefined : { customerName: customer?.name }
  }

  /** Whether the request may be written as it was encoded. */
  mayWrite (encoded: ForwardedCaller | undefined): boolean {
    const current = this.forwarded()
    return this.maySend && (current === undefined) === (encoded === undefined) && current?.customerName === encoded?.customerName
  }

  #identify (): IdentifiedCaller {
    const { config, route, keyDigest } = this.parts
    return identifyCaller(config.customersByKey, route, keyDigest)
  }
}
