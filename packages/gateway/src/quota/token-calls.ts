/** Sends requests for tokens to other hosts: what is asked of one host at the same moment, for several customers, goes in one call. */
import type { PeerClient } from '../members/types.js'
import type { TokenReply, TokenRequest } from './types.js'

/** A request that waits for longer has lost more than it gains. */
const CALL_TIMEOUT_MS = 150
/** The same where no request waits. */
const IDLE_CALL_TIMEOUT_MS = 500

type Asked = { request: TokenRequest, resolve: (reply: TokenReply) => void, reject: (error: Error) => void }

export class TokenCalls {
  readonly #asked = new Map<string, Asked[]>()

  private constructor (private readonly calls: Pick<PeerClient, 'takeTokens'>) {}

  static create (calls: Pick<PeerClient, 'takeTokens'>): TokenCalls {
    return new TokenCalls(calls)
  }

  /** Rejects if the host doesn't answer. */
  ask (peerAddress: string, request: TokenRequest): Promise<TokenReply> {
    return new Promise((resolve, reject) => {
      const asked = this.#asked.get(peerAddress)
      if (asked !== undefined) {
        asked.push({ request, resolve, reject })
        return
      }
      this.#asked.set(peerAddress, [{ request, resolve, reject }])
      queueMicrotask(() => this.#send(peerAddress))
    })
  }

  #send (peerAddress: string): void {
    const asked = this.#asked.get(peerAddress) ?? []
    this.#asked.delete(peerAddress)
    const requests = asked.map(({ request }) => request)
    const timeoutMs = requests.some(({ wanted }) => wanted.length > 0) ? CALL_TIMEOUT_MS : IDLE_CALL_TIMEOUT_MS
    this.calls.takeTokens(peerAddress, requests, timeoutMs).then((replies) => {
      for (const [index, { resolve, reject }] of asked.entries()) {
        const reply = replies[index]
        if (reply === undefined) reject(new Error('a reply is missing'))
        else resolve(reply)
      }
    }, (error: Error) => asked.forEach(({ reject }) => reject(error)))
  }
}
