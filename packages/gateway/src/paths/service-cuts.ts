/**
 * Finds services whose runners are mostly out of this host's reach, while it reaches those of other services. State without I/O.
 */
import type { TrackedRunner } from './tracked-runner.js'

/** Broken paths to runners of a service, at least. */
const MIN_BROKEN = 2

export class ServiceCuts {
  readonly #sinceMs = new Map<string, number>()

  private constructor () {}

  static create (): ServiceCuts {
    return new ServiceCuts()
  }

  /** Since when a service is out of reach; undefined if it isn't. */
  sinceMs (service: string): number | undefined {
    return this.#sinceMs.get(service)
  }

  /** Judges a service again, after a path to one of its runners broke or came back. */
  update (service: string, tracked: Iterable<TrackedRunner>): void {
    const runners = [...tracked].filter(({ place }) => place.service === service)
    const broken = runners.filter(({ isBroken }) => isBroken)
    const sinceMs = Math.min(...broken.map(({ brokenSinceMs }) => brokenSinceMs ?? Infinity))
    const reached = runners.filter(({ isBroken, acceptedMs }) => !isBroken && acceptedMs >= sinceMs)
    if (broken.length >= MIN_BROKEN && broken.length >= reached.length) this.#sinceMs.set(service, sinceMs)
    else this.#sinceMs.delete(service)
  }
}
