import type { ResultAsync } from 'neverthrow'
import type { Clock, Failure } from '@figloom/runtime'
import { z } from 'zod'
import { JsonHttp } from '../http/json-http.js'
import { checkAnswer, toPlatformFailure } from '../http/check-answer.js'
import { HostListClient, type ListedHost } from './types.js'

/** Options of the HTTP client of the host list. */
export type HttpHostListClientOptions = { url: string, clock: Clock, timeoutMs?: number, connectTimeoutMs?: number }

const DEFAULT_TIMEOUT_MS = 2_000
const SERVICE = 'host list'

/** Schema of an entry of the list. */
export const listedHostSchema = z.object({
  name: z.string().min(1),
  url: z.url(),
  innerUrl: z.url().or(z.literal('')).default(''),
  availabilityZone: z.string().min(1),
  state: z.enum(['live', 'leaving'])
})
const hostsSchema = z.array(listedHostSchema)

/** Client of the host list over HTTP. */
export class HttpHostListClient extends HostListClient {
  private constructor (private readonly http: JsonHttp, private readonly url: string, private readonly timeoutMs: number) {
    super()
  }

  static create (options: HttpHostListClientOptions): HttpHostListClient {
    return new HttpHostListClient(JsonHttp.create(options), options.url.replace(/\/$/, ''), options.timeoutMs ?? DEFAULT_TIMEOUT_MS)
  }

  override list (signal?: AbortSignal): ResultAsync<ListedHost[], Failure> {
    return this.http.send({ method: 'GET', url: `${this.url}/hosts`, timeoutMs: this.timeoutMs, signal })
      .mapErr((error) => toPlatformFailure(error, SERVICE))
      .andThen((answer) => checkAnswer(answer, hostsSchema, SERVICE))
  }

  /** Closes all connections. */
  close (): Promise<void> {
    return this.http.close()
  }
}
