import { z } from 'zod'
import { unitOf } from './units.js'

/** One key of a settings file, as listed in the generated documentation. */
export type SettingRow = {
  /** Dotted path of the key, such as `lookup.ttlMs`. */
  key: string
  type: string
  /** Name of the unit; empty if there is none. */
  unit: string
  /** Default as a TOML value; without a default `required`, or `none` if the key is optional. */
  defaultValue: string
  meaning: string
}

/** One section of a settings file. */
export type SettingSection = { name: string, meaning: string, rows: SettingRow[] }

/** Lists the sections of a schema with one row for each key. */
export function describeSettings (schema: z.ZodObject): SettingSection[] {
  return Object.entries(schema.shape).map(([name, field]) => {
    const section = unwrap(field as z.ZodType)
    const rows = section instanceof z.ZodObject ? describeRows(name, section) : []
    return { name, meaning: meaningOf(field as z.ZodType), rows }
  })
}

function describeRows (section: string, schema: z.ZodObject): SettingRow[] {
  return Object.entries(schema.shape).map(([name, field]) => ({
    key: `${section}.${name}`,
    type: typeOf(unwrap(field as z.ZodType)),
    unit: unitOf(name) ?? '',
    defaultValue: defaultOf(field as z.ZodType),
    meaning: meaningOf(field as z.ZodType)
  }))
}

function unwrap (field: z.ZodType): z.ZodType {
  if (field instanceof z.ZodDefault || field instanceof z.ZodPrefault || field instanceof z.ZodOptional) {
    return unwrap(field.unwrap() as z.ZodType)
  }
  return field
}

function typeOf (field: z.ZodType): string {
  if (field instanceof z.ZodEnum) return field.options.map((option) => JSON.stringify(option)).join(' or ')
  if (field instanceof z.ZodNumber) return field.format === 'safeint' ? 'integer' : 'number'
  if (field instanceof z.ZodArray) return `array of ${typeOf(field.element as z.ZodType)}`
  return field.type
}

function defaultOf (field: z.ZodType): string {
  if (field instanceof z.ZodOptional) return 'none'
  if (!(field instanceof z.ZodDefault)) return 'required'
  return JSON.stringify(field.def.defaultValue)
}

function meaningOf (field: z.ZodType): string {
  const description = field.description
  if (description !== undefined) return description
  const inner = unwrap(field)
  return inner.description ?? ''
}
