/** Clients of the protocol between hosts, one for each host, over connections of one agent. */
import type { Agent } from 'node:http'
import { createClient, type Client } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { GatewayService } from '@figloom/protocol'

export type HostClient = Client<typeof GatewayService>

export class HostClients {
  readonly #clients = new Map<string, HostClient>()

  private constructor (private readonly agent: Agent, private readonly maxMessageBytes: number) {}

  /** @param maxMessageBytes larger messages of other hosts are rejected */
  static create (agent: Agent, maxMessageBytes: number): HostClients {
    return new HostClients(agent, maxMessageBytes)
  }

  /** @param peerAddress IP:PORT of the host's service */
  at (peerAddress: string): HostClient {
    const known = this.#clients.get(peerAddress)
    if (known !== undefined) return known
    const transport = createConnectTransport({
      baseUrl: `http://${peerAddress}`,
      httpVersion: '1.1',
      useBinaryFormat: true,
      acceptCompression: [],
      readMaxBytes: this.maxMessageBytes,
      nodeOptions: { agent: this.agent }
    })
    const client = createClient(GatewayService, transport)
    this.#clients.set(peerAddress, client)
    return client
  }
}
