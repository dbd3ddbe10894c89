/** Gateways that failed to answer in the last 2 seconds. They are tried last, so that not every call waits for them. */

const ASK_LAST_MS = 2000

/** Owned by the `KeyClaims` of one entry host. */
export class UnreachableGateways {
  readonly #untilMs = new Map<string, number>()

  static create (): UnreachableGateways {
    return new UnreachableGateways()
  }

  add (gateway: string, nowMs: number): void {
    this.#untilMs.set(gateway, nowMs + ASK_LAST_MS)
  }

  /** Returns the gateways with the unreachable ones moved to the end, `self` excepted. */
  moveToEnd (gateways: readonly string[], self: string, nowMs: number): string[] {
    for (const [gateway, untilMs] of this.#untilMs) if (untilMs <= nowMs) this.#untilMs.delete(gateway)
    const unreachable = gateways.filter((gateway) => gateway !== self && this.#untilMs.has(gateway))
    return [...gateways.filter((gateway) => !unreachable.includes(gateway)), ...unreachable]
  }
}
