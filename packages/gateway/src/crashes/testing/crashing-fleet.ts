/** Hosts over loopback before runners whose processes end under certain requests, and callers of both kinds. */
import { Agent, request } from 'undici'
import { startHost, createConfig, type TestHost } from '../../testing/gateway-host.js'
import { CrashRecords } from '../../testing/memory-crash-log.js'
import { CrashingRunner, type IsDeadly } from './crashing-runner.js'

export type CrashingFleetOptions = { hosts: number, runners: number, isDeadly: IsDeadly }

/** A call's status, and whether its answer was whole. */
export type CallResult = { status: number, whole: boolean }

export class CrashingFleet {
  readonly hosts: TestHost[] = []
  readonly runners: CrashingRunner[] = []
  readonly records = CrashRecords.create()
  readonly #agent = new Agent()
  #position = 1
  #calls = 0

  private constructor () {}

  static async create ({ hosts, runners, isDeadly }: CrashingFleetOptions): Promise<CrashingFleet> {
    const fleet = new CrashingFleet()
    const seeds: string[] = []
    for (let index = 0; index < hosts; index += 1) {
      const host = await startHost([...seeds], fleet.records)
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

  /** Sends a request without a prompt or body to one of the hosts in turn. */
  read (target: string): Promise<CallResult> {
    return this.#send('GET', target, {}, 'ok')
  }

  async #send (method: 'GET' | 'POST', target: string, headers: Record<string, string>, end: string): Promise<CallResult> {
    this.#calls += 1
    const host = this.hosts[this.#calls % this.hosts.length] as TestHost
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
