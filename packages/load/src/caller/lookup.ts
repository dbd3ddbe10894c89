import { z } from 'zod'
import type { Clock } from '@figloom/runtime'
import type { JsonHttp } from '@figloom/clients'
import { isLoopbackUrl } from '../settings/loopback.js'

const lookupSchema = z.object({
  hosts: z.array(z.object({ host: z.string(), url: z.string() })).min(1),
  ttlMs: z.number().nonnegative()
})

/** Options of a lookup cache. */
export type LookupOptions = { http: JsonHttp, clock: Clock, entries: readonly string[], availabilityZone?: string | undefined, timeoutMs: number }

type CachedLookup = { urls: string[], expiresAtMs: number }

/** Looks up addresses at entry hosts and caches each answer for its time to live. */
export class LookupCache {
  readonly #cache = new Map<string, CachedLookup>()
  readonly #pending = new Map<string, Promise<string[]>>()
  readonly counts = { asked: 0, failed: 0, remoteAddresses: 0 }
  #nextEntry = 0

  private constructor (private readonly options: LookupOptions) {}

  static create (options: LookupOptions): LookupCache {
    return new LookupCache(options)
  }

  /** Addresses for a model or service, in order of preference; none if no entry host answers. */
  async find (kind: 'model' | 'service', name: string): Promise<string[]> {
    const key = `${kind}=${encodeURIComponent(name)}`
    const cached = this.#cache.get(key)
    if (cached !== undefined && this.options.clock.monotonicMs() < cached.expiresAtMs) return cached.urls
    const pending = this.#pending.get(key) ?? this.#query(key).finally(() => this.#pending.delete(key))
    this.#pending.set(key, pending)
    return pending
  }

  /** Drops the cached answer for a name, after an address failed. */
  invalidate (kind: 'model' | 'service', name: string): void {
    this.#cache.delete(`${kind}=${encodeURIComponent(name)}`)
  }

  async #query (key: string): Promise<string[]> {
    for (let attempt = 0; attempt < this.options.entries.length; attempt += 1) {
      const entry = this.options.entries[this.#nextEntry % this.options.entries.length] as string
      const urls = await this.#queryEntry(entry, key)
      if (urls !== undefined) return urls
      this.#nextEntry += 1
    }
    return []
  }

  async #queryEntry (entry: string, key: string): Promise<string[] | undefined> {
    const { http, clock, availabilityZone, timeoutMs } = this.options
    const zone = availabilityZone === undefined ? '' : `&availabilityZone=${encodeURIComponent(availabilityZone)}`
    const askedAtMs = clock.monotonicMs()
    this.counts.asked += 1
    const answer = await http.send({ method: 'GET', url: `${entry.replace(/\/$/, '')}/v1/lookup?${key}${zone}`, timeoutMs })
    const parsed = lookupSchema.safeParse(answer.isOk() && answer.value.status === 200 ? answer.value.body : undefined)
    if (!parsed.success) {
      this.counts.failed += 1
      return undefined
    }
    const urls = parsed.data.hosts.map(({ url }) => url.replace(/\/$/, '')).filter(isLoopbackUrl)
    this.counts.remoteAddresses += parsed.data.hosts.length - urls.length
    this.#cache.set(key, { urls, expiresAtMs: askedAtMs + parsed.data.ttlMs })
    return urls
  }
}
