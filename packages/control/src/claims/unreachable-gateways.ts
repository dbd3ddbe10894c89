/** Gateways that did not answer lately; they are asked last, so that each call does not wait for them again. */

const REMEMBER_MS = 2000

/** Owned by the claims of one entry host. */
export class UnreachableGateways {
  readonly #untilMs = new Map<string, number>()

  static create (): UnreachableGateways {
    return new UnreachableGateways()
  }

  add (gateway: string, nowMs: number): void {
    this.#untilMs.set(gateway, nowMs + REMEMBER_MS)
  }

  /** The order with those that did not answer behind `self`. */
  moveToEnd (order: readonly string[], self: string, nowMs: number): string[] {
    for (const [gateway, untilMs] of this.#untilMs) if (untilMs <= nowMs) this.#untilMs.delete(gateway)
    const silent = order.filter((gateway) => gateway !== self && this.#untilMs.has(gateway))
    return [...order.filter((gateway) => !silent.includes(gateway)), ...silent]
  }
}
