/** Units by the suffix that field names have. */
const UNITS: Readonly<Record<string, string>> = {
  Ms: 'milliseconds',
  Seconds: 'seconds',
  MiB: 'mebibytes',
  Bytes: 'bytes',
  PerSecond: 'per second',
  Ratio: 'ratio 0 to 1',
  Weight: 'weight 0 to 1'
}

/** Unit suffix of a field's name, if it has one. */
export function unitSuffixOf (name: string): string | undefined {
  return Object.keys(UNITS).find((suffix) => name.endsWith(suffix))
}

/** Name of a field's unit, from the suffix of the field's name. */
export function unitOf (name: string): string | undefined {
  const suffix = unitSuffixOf(name)
  return suffix === undefined ? undefined : UNITS[suffix]
}
