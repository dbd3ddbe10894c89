import { eventHandler, type EventHandler } from 'h3'
import { z } from 'zod'
import { readChecked, sendJson } from './request-helpers.js'

/** Builds the handler of `POST /faults`: sets those faults that the body names and answers with all. Test-only. */
export function createFaultsHandler<Faults extends Record<string, number | boolean>> (
  current: Faults,
  apply: (faults: Partial<Faults>) => void = (faults) => { Object.assign(current, faults) }
): EventHandler {
  const schema = createFaultsSchema(current)
  return eventHandler(async (event) => {
    const faults = await readChecked(event, schema)
    if (faults === undefined) return
    apply(faults as Partial<Faults>)
    sendJson(event, 200, current)
  })
}

/** Form of a change of faults: any of the names, each with the type of its present value. */
function createFaultsSchema (current: Record<string, number | boolean>) {
  const fields = Object.entries(current).map(([name, value]) => [
    name, typeof value === 'boolean' ? z.boolean().optional() : z.number().nonnegative().optional()
  ])
  return z.strictObject(Object.fromEntries(fields) as Record<string, z.ZodType<number | boolean | undefined>>)
}
