/**
 * Decisions on a cell's lease, on the monotonic clock of the deciding host. A wrong one costs a
 * takeover and never a promise: what is valid follows from the order of records in the log alone.
 */
import { rankByRendezvous } from '../hashing/hash.js'
import type { Claim } from './state.js'
import type { Sender } from './records.js'

export type LeaseSettings = {
  leaseMs: number
  renewEveryMs: number
  /** Highest relative error between two hosts' monotonic clocks. */
  driftRatio: number
  /** Added to what other hosts wait, in milliseconds. */
  marginMs: number
  /** Time between the claims of two candidates, in milliseconds. */
  staggerMs: number
  /** How long the log must have answered before a host claims, so that a holder can renew after an outage. */
  settledReadsMs: number
}

export const DEFAULT_LEASE_SETTINGS: LeaseSettings = {
  leaseMs: 15_000,
  renewEveryMs: 8_000,
  driftRatio: 0.01,
  marginMs: 500,
  staggerMs: 700,
  settledReadsMs: 2_500
}

/** What a host knows when it decides. */
export type LeaseInput = {
  nowMs: number
  self: Sender
  claim: Claim | undefined
  /** When this host read the newest valid record of the holder. */
  heardMs: number
  /** When this host, as the holder, sent the newest record that it read back. */
  sentMs: number
  /** Since when reads of the log have succeeded without a break; undefined while they fail. */
  readsSinceMs: number | undefined
  /** Direct evidence, since when, that the holder does not answer. */
  suspectedSinceMs: number | undefined
  /** When this host, as the holder, noticed that its lease had lapsed; undefined while it runs. */
  lapseNoticedMs?: number | undefined
  /** Place of this host among the candidates, 0 first. */
  rank: number
}

export const LeaseAction = { None: 'none', Claim: 'claim', Renew: 'renew' } as const
export type LeaseAction = (typeof LeaseAction)[keyof typeof LeaseAction]

/** Whether this host is the holder and its lease still runs by its own count. */
export function considersSelfHolder (input: LeaseInput, settings: LeaseSettings): boolean {
  if (input.claim?.sender.incarnation !== input.self.incarnation || input.claim.released) return false
  return input.nowMs < input.sentMs + settings.leaseMs
}

/** When another host may claim: it counts from its reading, with the drift of clocks and a margin. */
export function expiresForOthersMs (heardMs: number, claim: Claim, settings: LeaseSettings): number {
  return heardMs + claim.leaseMs * (1 + settings.driftRatio) + settings.marginMs
}

/** What to append now. */
export function decideLease (input: LeaseInput, settings: LeaseSettings): LeaseAction {
  const { claim, nowMs } = input
  if (claim !== undefined && claim.sender.incarnation === input.self.incarnation && !claim.released) {
    return nowMs >= renewDueMs(input, settings) ? LeaseAction.Renew : LeaseAction.None
  }
  if (input.readsSinceMs === undefined) return LeaseAction.None
  const readyMs = input.readsSinceMs + (claim === undefined || claim.released ? 0 : settings.settledReadsMs)
  const claimMs = Math.max(readyMs, vacantMs(input, settings)) + input.rank * settings.staggerMs
  return nowMs >= claimMs ? LeaseAction.Claim : LeaseAction.None
}

/** Candidates in the order in which they claim; differs from cell to cell so that claims spread over hosts. */
export function rankCandidates (cell: string, hosts: string[]): string[] {
  return rankByRendezvous(cell, [...new Set(hosts)], (host) => host)
}

/** A holder whose lease lapsed, in a pause or an outage, gives itself time to read its successor's claim. */
function renewDueMs (input: LeaseInput, settings: LeaseSettings): number {
  const dueMs = input.sentMs + settings.renewEveryMs
  if (input.lapseNoticedMs === undefined) return dueMs
  const readingMs = Math.max(input.lapseNoticedMs, input.readsSinceMs ?? Infinity)
  return Math.max(dueMs, readingMs + settings.staggerMs)
}

function vacantMs (input: LeaseInput, settings: LeaseSettings): number {
  if (input.claim === undefined) return 0
  if (input.claim.released) return input.heardMs
  const expiresMs = expiresForOthersMs(input.heardMs, input.claim, settings)
  return input.suspectedSinceMs === undefined ? expiresMs : Math.min(expiresMs, input.suspectedSinceMs)
}
