import { z } from 'zod'
import type { JsonHttp } from '@figloom/clients'
import type { EngineOperationsReport } from './types.js'

const countSchema = z.number().int().nonnegative()
const serviceSchema = z.object({ ranTwice: countSchema, runs: z.record(z.string(), countSchema) })
const engineSchema = z.object({
  loads: countSchema,
  unloads: countSchema,
  roleChanges: countSchema,
  adapterLoads: countSchema,
  adapterUnloads: countSchema,
  overcommitCount: countSchema,
  startedTwice: countSchema
})

/** Statistics of a service stand-in. */
export type ServiceStats = z.infer<typeof serviceSchema>
/** Statistics of an engine stand-in. */
export type EngineStats = z.infer<typeof engineSchema>

/** Reads the statistics of a service stand-in; undefined if it does not answer. */
export function readServiceStats (http: JsonHttp, url: string, timeoutMs: number): Promise<ServiceStats | undefined> {
  return readStats(http, url, timeoutMs, serviceSchema)
}

/** Reads the statistics of an engine stand-in; undefined if it does not answer. */
export function readEngineStats (http: JsonHttp, url: string, timeoutMs: number): Promise<EngineStats | undefined> {
  return readStats(http, url, timeoutMs, engineSchema)
}

/** Sums the operations that engines carried out between two readings. */
export function sumEngineOperations (pairs: { before: EngineStats, after: EngineStats }[]): EngineOperationsReport {
  const sum = (name: keyof EngineStats) => pairs.reduce((total, { before, after }) => total + after[name] - before[name], 0)
  return {
    loads: sum('loads'),
    unloads: sum('unloads'),
    roleChanges: sum('roleChanges'),
    adapterLoads: sum('adapterLoads'),
    adapterUnloads: sum('adapterUnloads'),
    overcommits: sum('overcommitCount'),
    startedTwice: sum('startedTwice')
  }
}

async function readStats<T> (http: JsonHttp, url: string, timeoutMs: number, schema: z.ZodType<T>): Promise<T | undefined> {
  const answer = await http.send({ method: 'GET', url: `${url.replace(/\/$/, '')}/stats`, timeoutMs })
  return answer.isOk() ? schema.safeParse(answer.value.body).data : undefined
}
