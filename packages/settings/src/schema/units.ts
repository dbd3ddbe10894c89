/** Units that field names carry as a suffix. */
const UNITS: Readonly<Record<string, string>> = {
  Ms: 'milliseconds',
  Seconds: 'seconds',
  MiB: 'mebibytes',
  Bytes: 'bytes',
  PerSecond: 'per second',
  Ratio: 'ratio 0 to 1',
  Weight: 'weight 0 to 1'
}

/** Suffix of a field's name that names a unit, if it has one. */
export function unitSuffixOf (name: string): string | undefined {
  return Object.keys(UNITS).find((suffix) => name.endsWith(suffix))
}

/** Unit of a field in words, from the suffix of its name. */
export function unitOf (name: string): string | undefined {
  const suffix = unitSuffixOf(name)
  return suffix === undefined ? undefined : UNITS[suffix]
}
