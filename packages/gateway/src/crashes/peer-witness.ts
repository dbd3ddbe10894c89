/** Asks other hosts whether they reach a runner that refuses this host's connections. */
import type { Clock } from '@figloom/runtime'
import type { LocatedRunner } from '../gates/types.js'
import type { HostSummary, PeerClient } from '../members/types.js'
import { pick, type RunnerChecks } from './runner-checks.js'
import { EndVerdict, RunnerCheck, RunnerWitness, type WitnessReport } from './types.js'

/** Each costs the asked host a few connections. */
const MAX_WITNESSES = 3
/** An asked host answers after two connections at most (`runner-checks`), and a round trip. */
const CALL_TIMEOUT_MS = 300
/** The others' answers are waited for this long once a host has confirmed the end: hosts tell of ends within tens of milliseconds. */
const CONFIRMED_WAIT_MS = 30

export type PeerWitnessParts = {
  clock: Clock
  calls: Pick<PeerClient, 'checkRunner'>
  checks: RunnerChecks
  availabilityZone: string
  /** The other hosts that are up. */
  hosts: () => readonly HostSummary[]
  /** Whether a host has lost its links to runners, and knows it. */
  isCutOff: (host: HostSummary) => boolean
  random: () => number
}

type Statement = { host: string, check: RunnerCheck, /** Why it gave none. */ reason?: string }

export class PeerWitness extends RunnerWitness {
  private constructor (private readonly parts: PeerWitnessParts) {
    super()
  }

  static create (parts: PeerWitnessParts): PeerWitness {
    return new PeerWitness(parts)
  }

  override async confirmEnd (runner: LocatedRunner): Promise<WitnessReport> {
    const others = this.parts.hosts().filter(({ leaving }) => !leaving)
    if (others.length === 0) return await this.#confirmAlone(runner)
    const statements = await this.#ask(this.#choose(others), runner)
    return { verdict: judge(statements), basis: describe(statements) }
  }

  async #confirmAlone (runner: LocatedRunner): Promise<WitnessReport> {
    const reachesOthers = await this.parts.checks.reachesOthers(runner)
    if (reachesOthers) return { verdict: EndVerdict.Ended, basis: 'no other host; this one reaches other runners' }
    return { verdict: EndVerdict.Unconfirmed, basis: 'no other host; this one reaches no other runner' }
  }

  /** Hosts of other availability zones first: those of this one may have lost the same links. */
  #choose (hosts: readonly HostSummary[]): HostSummary[] {
    const { availabilityZone, isCutOff, random } = this.parts
    const able = hosts.filter((host) => !isCutOff(host))
    const far = able.filter(({ address }) => address.availabilityZone !== availabilityZone)
    const near = able.filter(({ address }) => address.availabilityZone === availabilityZone)
    return [...pick(far, MAX_WITNESSES, random), ...pick(near, MAX_WITNESSES, random)].slice(0, MAX_WITNESSES)
  }

  /** Resolves when all have answered, when one accepts, or a moment after the first that confirms the end. */
  #ask (hosts: readonly HostSummary[], runner: LocatedRunner): Promise<Statement[]> {
    const statements: Statement[] = []
    return new Promise((resolve) => {
      if (hosts.length === 0) return resolve(statements)
      const finish = () => resolve([...statements])
      const onStatement = (statement: Statement) => {
        statements.push(statement)
        if (statements.length === hosts.length || statement.check === RunnerCheck.Accepted) finish()
        else if (statement.check === RunnerCheck.Refused) this.parts.clock.setTimer(CONFIRMED_WAIT_MS, finish)
      }
      for (const { address } of hosts) this.#statementOf(address.host, address.peerAddress, runner).then(onStatement)
    })
  }

  async #statementOf (host: string, peerAddress: string, runner: LocatedRunner): Promise<Statement> {
    try {
      return { host, check: await this.parts.calls.checkRunner(peerAddress, runner.address, CALL_TIMEOUT_MS) }
    } catch (error) {
      return { host, check: RunnerCheck.Unknown, reason: (error as Error).message }
    }
  }
}

function judge (statements: readonly Statement[]): EndVerdict {
  const has = (check: RunnerCheck) => statements.some((statement) => statement.check === check)
  if (has(RunnerCheck.Accepted)) return EndVerdict.Alive
  return has(RunnerCheck.Refused) ? EndVerdict.Ended : EndVerdict.Unconfirmed
}

function describe (statements: readonly Statement[]): string {
  if (statements.length === 0) return 'no host could be asked'
  return statements.map(({ host, check, reason }) => reason === undefined ? `${host}: ${check}` : `${host}: ${check} (${reason})`).join('; ')
}
