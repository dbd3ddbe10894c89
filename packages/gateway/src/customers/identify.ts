/**
 * Decides whose request it is: by the key that its caller shows, its route and the customers of the configuration in force. Asked
 * again before each sending, since a newer version may have removed the key while the request waited. Pure.
 */
import type { Customer, Route } from '../config/types.js'

export const CallerKind = {
  /** The configuration has no customers, and keys mean nothing. */
  Unchecked: 'unchecked',
  /** The caller shows the key of a customer. */
  Customer: 'customer',
  /** The route needs no key, and the caller shows none that a customer holds. */
  Anonymous: 'anonymous',
  /** The route needs a key, and the caller shows none that a customer holds. */
  Unknown: 'unknown'
} as const
export type CallerKind = (typeof CallerKind)[keyof typeof CallerKind]

export type IdentifiedCaller =
  { kind: typeof CallerKind.Customer, customer: Customer } |
  { kind: Exclude<CallerKind, typeof CallerKind.Customer>, customer?: undefined }

/** @param keyDigest identifies the caller's key; undefined if it shows none */
export function identifyCaller (customersByKey: ReadonlyMap<string, Customer> | undefined, route: Route, keyDigest: string | undefined): IdentifiedCaller {
  if (customersByKey === undefined) return { kind: CallerKind.Unchecked }
  const customer = keyDigest === undefined ? undefined : customersByKey.get(keyDigest)
  if (customer !== undefined) return { kind: CallerKind.Customer, customer }
  return { kind: route.isPublic ? CallerKind.Anonymous : CallerKind.Unknown }
}
