/**
 * Checks a runner's address with a connection that carries no request. That one runner refuses it says something about the runner
 * only if other runners accept connections at the same time, so a failure is reported only with such a control.
 */
import type { LocatedRunner } from '../gates/types.js'
import type { RunnerEntry } from '../runners/types.js'
import { ProbeResult, RunnerCheck, type ListenerProbe } from './types.js'

/** A runner answers in one round trip; a check has to end before the asking host gives up (`CALL_TIMEOUT_MS`). */
const CHECK_TIMEOUT_MS = 120
/** The control follows the check within the same call. */
const CONTROL_TIMEOUT_MS = 80
/** Any of these may have ended at the same moment. */
const CONTROL_RUNNERS = 3
/** Checks of different runners at a time; hosts that lost many runners at once ask others, too. */
const MAX_CHECKS = 32

export type RunnerChecksParts = {
  probe: ListenerProbe
  /** Runners that the platform lists. */
  listed: () => readonly RunnerEntry[]
  /** Whether a runner's listed process is known to have ended. */
  hasEnded: (runner: LocatedRunner) => boolean
  random: () => number
}

export class RunnerChecks {
  /** Checks in progress by address; several hosts may ask for the same runner. */
  readonly #running = new Map<string, Promise<RunnerCheck>>()

  private constructor (private readonly parts: RunnerChecksParts) {}

  static create (parts: RunnerChecksParts): RunnerChecks {
    return new RunnerChecks(parts)
  }

  /** What this host sees of a runner's address. Connects to addresses of listed runners only. */
  async check (address: string): Promise<RunnerCheck> {
    const running = this.#running.get(address)
    if (running !== undefined) return await running
    const entry = this.parts.listed().find((listed) => listed.address === address)
    if (entry === undefined || this.#running.size >= MAX_CHECKS) return RunnerCheck.Unknown
    const check = this.#check(entry).finally(() => this.#running.delete(address))
    this.#running.set(address, check)
    return await check
  }

  async #check (entry: RunnerEntry): Promise<RunnerCheck> {
    const result = await this.parts.probe.probe(entry.address, CHECK_TIMEOUT_MS)
    if (result === ProbeResult.Accepted) return RunnerCheck.Accepted
    return await this.reachesOthers(entry) ? result : RunnerCheck.Unknown
  }

  /** Whether other runners accept a connection now. Earlier answers don't count: the links may have been lost since. */
  async reachesOthers ({ address }: Pick<LocatedRunner, 'address'>): Promise<boolean> {
    const controls = this.#controlsFor(address)
    const accepted = controls.map(async (control) => {
      if (await this.parts.probe.probe(control, CONTROL_TIMEOUT_MS) !== ProbeResult.Accepted) throw new Error('not accepted')
    })
    return await Promise.any(accepted).then(() => true, () => false)
  }

  /** Addresses of other runners, from the runner's own availability zone if it has any: a host may have lost its links to that zone only. */
  #controlsFor (address: string): string[] {
    const { listed, hasEnded, random } = this.parts
    const entries = listed()
    const zone = entries.find((entry) => entry.address === address)?.availabilityZone
    const others = entries.filter((entry) => entry.address !== address && !hasEnded(entry))
    const near = others.filter(({ availabilityZone }) => availabilityZone === zone)
    return pick(near.length > 0 ? near : others, CONTROL_RUNNERS, random).map((entry) => entry.address)
  }
}

/** Some of the items, in random order. */
export function pick<Item> (items: readonly Item[], count: number, random: () => number): Item[] {
  const rest = [...items]
  const picked: Item[] = []
  while (picked.length < count && rest.length > 0) picked.push(...rest.splice(Math.floor(random() * rest.length), 1))
  return picked
}
