/** JSON with sorted keys and no spaces: equal values produce equal bytes. Keys whose value is undefined are left out. */
export function canonicalJson (value: unknown): string {
  return JSON.stringify(value, (_key, inner: unknown) => isPlainObject(inner) ? sortKeys(inner) : inner)
}

function isPlainObject (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function sortKeys (value: Record<string, unknown>): Record<string, unknown> {
  return Object.fromEntries(Object.keys(value).sort().map((key) => [key, value[key]]))
}
