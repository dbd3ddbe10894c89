/** Hosts over loopback before runners whose processes end under certain requests, and callers of both kinds. */
import { Agent, request } from 'undici'
import { startHost, createConfig, type TestHost } from '../../testing/gateway-host.js'
import { CrashRecords } from '../../testing/memory-crash-log.js'
import { TcpProbe } from '../tcp-probe.js'
import { ListenerProbe, ProbeResult } from '../types.js'
import { CrashingRunner, type IsDeadly } from './crashing-runner.js'

/** Probes by TCP until the host's links to runners are lost. */
class LinkProbe extends ListenerProbe {
  lost = false
  readonly #tcp = TcpProbe.create()

  override async probe (address: string, timeoutMs: number): Promise<ProbeResult> {
    return this.lost ? ProbeResult.Refused : await this.#tcp.probe(address, timeoutMs)
  }
}

export type CrashingFleetOptions = { hosts: number, runners: number, isDeadly: IsDeadly }

/** A call's status, and whether its answer was whole. */
export type CallResult = { status: number, whole: boolean }

const POLL_MS = 20

const sleep = (durationMs: number) => new Promise((resolve) => setTimeout(resolve, durationMs))

export class CrashingFleet {
  readonly hosts: TestHost[] = []
  readonly runners: CrashingRunner[] = []
  readonly records = CrashRecords.create()
  readonly #agent = new Agent()
  readonly #probes: LinkProbe[] = []
  /** Ids of the requests to each host. */
  readonly #requestIds: Set<string>[] = []
  #position = 1
  #calls = 0

  private constructor () {}

  static async create ({ hosts, runners, isDeadly }: CrashingFleetOptions): Promise<CrashingFleet> {
    const fleet = new CrashingFleet()
    const seeds: string[] = []
    for (let index = 0; index < hosts; index += 1) {
      const probe = new LinkProbe()
      const host = await startHost([...seeds], fleet.records, { probe })
      fleet.#probes.push(probe)
      fleet.#requestIds.push(new Set())
      seeds.push(host.peerAddress)
      fleet.hosts.push(host)
    }
    for (let index = 1; index <= runners; index += 1) {
      fleet.runners.push(await CrashingRunner.create(`runner-${index}`, isDeadly, () => fleet.list()))
    }
    for (const { watch } of fleet.hosts) watch.events?.onConfig(createConfig(3), Buffer.from('3'))
    fleet.list()
    return fleet
  }

  /** Lists the runners' present processes at all hosts. */
  list (): void {
    this.#position += 1
    const records = this.runners.map((runner) => ({ id: runner.id, position: this.#position, entry: runner.entry() }))
    for (const { watch } of this.hosts) watch.events?.onRunnerUpdate({ to: this.#position + 1, records, ageMs: 0 })
  }

  /** Sends a stream request with these prompt parts to one of the hosts in turn. @param target a new one for each request unless given */
  call (parts: string[], target?: string): Promise<CallResult> {
    const number = this.#calls + 1
    return this.#send('POST', target ?? `/stream/${number}`, { 'prompt-parts': [...parts, `own-${number}`].join(',') }, 'id: 1\n')
  }

  /** Sends a resumable stream request with these prompt parts to a certain host. */
  callAt (index: number, parts: string[]): Promise<CallResult> {
    const number = this.#calls + 1
    return this.#send('POST', `/resumable/${number}`, { 'prompt-parts': [...parts, `own-${number}`].join(',') }, 'id: 1\n', index)
  }

  /** A host loses its links to all runners: its requests are reset, and what it probes refuses it. */
  loseLinks (index: number): void {
    const probe = this.#probes[index] as LinkProbe
    probe.lost = true
    for (const runner of this.runners) runner.reset(this.#requestIds[index] as Set<string>)
  }

  /** Resolves when each host knows all others. */
  async meet (): Promise<void> {
    for (const index of this.hosts.keys()) {
      while (await this.countOf(index, 'figloom_gateway_live_hosts') < this.hosts.length - 1) await sleep(POLL_MS)
    }
  }

  /** Sum over a metric's series at a host. */
  async countOf (index: number, metric: string): Promise<number> {
    const { peerAddress } = this.hosts[index] as TestHost
    const text = await (await fetch(`http://${peerAddress}/metrics`)).text()
    const lines = text.split('\n').filter((line) => line.startsWith(metric) && !line.startsWith('#'))
    return lines.reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0)
  }

  /** Sends a request without a prompt or body to one of the hosts in turn. */
  read (target: string): Promise<CallResult> {
    return this.#send('GET', target, {}, 'ok')
  }

  async #send (method: 'GET' | 'POST', target: string, headers: Record<string, string>, end: string, toHost?: number): Promise<CallResult> {
    this.#calls += 1
    const index = toHost ?? this.#calls % this.hosts.length
    const host = this.hosts[index] as TestHost
    this.#requestIds[index]?.add(`call-${this.#calls}`)
    const options = { method, headers: { host: 'test', 'request-id': `call-${this.#calls}`, ...headers }, dispatcher: this.#agent }
    try {
      const { statusCode, body } = await request(`http://${host.callerAddress}${target}`, options)
      const text = await body.text()
      return { status: statusCode, whole: text.includes(end) }
    } catch {
      return { status: 0, whole: false }
    }
  }

  /** Times at which processes ended, in order. */
  endsMs (): number[] {
    return this.runners.flatMap(({ endsMs }) => endsMs).sort((a, b) => a - b)
  }

  /** Deadly requests that reached runners after this time. */
  deadlyArrivalsAfter (afterMs: number): number {
    return this.runners.flatMap(({ deadlyArrivalsMs }) => deadlyArrivalsMs).filter((atMs) => atMs > afterMs).length
  }

  async close (): Promise<void> {
    await Promise.all(this.hosts.map(({ gateway }) => gateway.stop()))
    for (const runner of this.runners) runner.close()
    await this.#agent.destroy()
  }
}
