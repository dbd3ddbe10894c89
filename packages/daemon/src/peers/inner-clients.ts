import { createClient, type Client } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { InnerService } from '@figloom/protocol'

export type InnerClient = Client<typeof InnerService>

const MAX_CLIENTS = 64

/** Clients of the inner protocol, one for each peer in use, each over one HTTP/2 connection. */
export class InnerClients {
  readonly #clients = new Map<string, InnerClient>()

  static create (): InnerClients {
    return new InnerClients()
  }

  /** Client of the peer at `innerUrl`; drops the least recently used client if there are more than `MAX_CLIENTS`. */
  get (innerUrl: string): InnerClient {
    const known = this.#clients.get(innerUrl)
    const client = known ?? createClient(InnerService, createConnectTransport({ baseUrl: innerUrl, httpVersion: '2' }))
    this.#clients.delete(innerUrl)
    this.#clients.set(innerUrl, client)
    const oldest = this.#clients.keys().next().value
    if (this.#clients.size > MAX_CLIENTS && oldest !== undefined) this.#clients.delete(oldest)
    return client
  }
}
