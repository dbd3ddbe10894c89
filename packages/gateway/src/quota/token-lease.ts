/**
 * Tokens of one customer that this host may use. They lapse soon after they were granted: a host that was frozen or cut off must not
 * use them beside what was granted since. Pure state; times are milliseconds of a clock that also counts suspensions.
 */

/** Tokens lapse this long after they were asked for. All of the bound's slack for late use is one tenth of nine seconds. */
export const LEASE_VALID_MS = 400

type Grant = { tokens: number, validUntilMs: number }

export class TokenLease {
  #grants: Grant[] = []

  private constructor () {}

  static create (): TokenLease {
    return new TokenLease()
  }

  add (tokens: number, validUntilMs: number): void {
    if (tokens > 0) this.#grants.push({ tokens, validUntilMs })
  }

  /** @returns until when the tokens are valid: given back before, they can be used again; undefined if there aren't enough */
  take (tokens: number, nowMs: number): number | undefined {
    if (this.available(nowMs) < tokens) return undefined
    let missing = tokens
    let validUntilMs = Infinity
    for (const grant of this.#grants) {
      const used = Math.min(missing, grant.tokens)
      if (used > 0) validUntilMs = Math.min(validUntilMs, grant.validUntilMs)
      grant.tokens -= used
      missing -= used
    }
    return validUntilMs
  }

  available (nowMs: number): number {
    if (this.#grants.length > 0) this.#grants = this.#grants.filter((grant) => grant.tokens > 0 && grant.validUntilMs >= nowMs)
    return this.#grants.reduce((sum, { tokens }) => sum + tokens, 0)
  }
}
