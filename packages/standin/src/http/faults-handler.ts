import { eventHandler, type EventHandler } from 'h3'
import { z } from 'zod'
import { readValidatedJson, sendJson } from './request-helpers.js'

/** Creates the handler of `POST /faults`, which sets the faults in the body and answers with all faults. For tests only. */
export function createFaultsHandler<Faults extends Record<string, number | boolean>> (
  current: Faults,
  apply: (faults: Partial<Faults>) => void = (faults) => { Object.assign(current, faults) }
): EventHandler {
  const schema = createFaultsSchema(current)
  return eventHandler(async (event) => {
    const faults = await readValidatedJson(event, schema)
    if (faults === undefined) return
    apply(faults as Partial<Faults>)
    sendJson(event, 200, current)
  })
}

/** Creates the schema of a change: any subset of the faults, each with the type of its current value. */
function createFaultsSchema (current: Record<string, number | boolean>) {
  const fields = Object.entries(current).map(([name, value]) => [
    name, typeof value === 'boolean' ? z.boolean().optional() : z.number().nonnegative().optional()
  ])
  return z.strictObject(Object.fromEntries(fields) as Record<string, z.ZodType<number | boolean | undefined>>)
}
