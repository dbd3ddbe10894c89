/** Counts the calls to the platform, which limits their rate, by topic and kind. */
import { Counter, type Registry } from '@figloom/runtime'

export type PlatformCallCount = { topic: string, call: string, count: number }

export class PlatformCalls {
  readonly #counts = new Map<string, PlatformCallCount>()

  private constructor () {}

  static create (): PlatformCalls {
    return new PlatformCalls()
  }

  /** @param call kind of the call, such as a read or an append */
  add (topic: string, call: string): void {
    const key = `${topic} ${call}`
    const known = this.#counts.get(key)
    if (known === undefined) this.#counts.set(key, { topic, call, count: 1 })
    else known.count += 1
  }

  get counts (): PlatformCallCount[] {
    return [...this.#counts.values()]
  }
}

export function createPlatformCallCounter (registry: Registry, calls: PlatformCalls): void {
  const counter = new Counter({
    name: 'figloom_gateway_platform_calls_total',
    help: 'Calls to the platform, by topic and kind, with those that failed.',
    labelNames: ['topic', 'call'],
    registers: [registry],
    collect () {
      counter.reset()
      for (const { topic, call, count } of calls.counts) counter.inc({ topic, call }, count)
    }
  })
}
