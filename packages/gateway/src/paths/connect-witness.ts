/** Asks hosts about runners over connect-es. */
import { createClient, type Client } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { GatewayService, RunnerCheck } from '@figloom/protocol'
import { RunnerWitness, WitnessAnswer } from './runner-witness.js'

const ANSWERS: Record<RunnerCheck, WitnessAnswer> = {
  [RunnerCheck.UNKNOWN]: WitnessAnswer.Unknown,
  [RunnerCheck.ACCEPTED]: WitnessAnswer.Accepted,
  [RunnerCheck.REFUSED]: WitnessAnswer.Refused,
  [RunnerCheck.SILENT]: WitnessAnswer.Silent
}

export class ConnectWitness extends RunnerWitness {
  readonly #clients = new Map<string, Client<typeof GatewayService>>()

  static create (): ConnectWitness {
    return new ConnectWitness()
  }

  override async check (peerAddress: string, runnerAddress: string, timeoutMs: number): Promise<WitnessAnswer> {
    const { check } = await this.#client(peerAddress).checkRunner({ address: runnerAddress }, { timeoutMs })
    return ANSWERS[check] ?? WitnessAnswer.Unknown
  }

  #client (peerAddress: string): Client<typeof GatewayService> {
    const known = this.#clients.get(peerAddress)
    if (known !== undefined) return known
    const transport = createConnectTransport({ baseUrl: `http://${peerAddress}`, httpVersion: '1.1', useBinaryFormat: true, acceptCompression: [] })
    const client = createClient(GatewayService, transport)
    this.#clients.set(peerAddress, client)
    return client
  }
}
