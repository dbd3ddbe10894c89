/**
 * Decisions on a cell's lease, on the monotonic clock of the deciding host. A wrong decision costs an unneeded takeover but
 * never safety: which records are valid follows from their order in the log alone.
 */
import { rankByRendezvous } from '../hashing/hash.js'
import type { Claim } from './state.js'
import type { Sender } from './records.js'

export type LeaseSettings = {
  leaseMs: number
  renewEveryMs: number
  /** Highest relative rate difference between two hosts' monotonic clocks. */
  driftRatio: number
  /** Extra time that other hosts wait after the lease expires, in milliseconds. */
  marginMs: number
  /** Delay between the claims of two consecutive candidates, in milliseconds. */
  staggerMs: number
  /** How long the log must have been readable before a host claims, so that the holder can renew first after an outage. */
  minLogReadableMs: number
}

export const DEFAULT_LEASE_SETTINGS: LeaseSettings = {
  leaseMs: 15_000,
  renewEveryMs: 8_000,
  driftRatio: 0.01,
  marginMs: 500,
  staggerMs: 700,
  minLogReadableMs: 2_500
}

/** Input of a host's decision. */
export type LeaseInput = {
  nowMs: number
  self: Sender
  claim: Claim | undefined
  /** When this host read the newest valid record of the holder. */
  holderRecordMs: number
  /** When this host, as the holder, first tried to append the newest of its records that it has read back. */
  ownRecordSentMs: number
  /** Since when reads of the log have succeeded without a failure; undefined while they fail. */
  logReadableSinceMs: number | undefined
  /** Since when there is direct evidence that the holder does not answer; undefined if there is none. */
  suspectedSinceMs: number | undefined
  /** When this host, as the holder, noticed that its lease had expired; undefined while it is valid. */
  expiryNoticedMs?: number | undefined
  /** Rank of this host among the candidates, from 0. */
  rank: number
}

export const LeaseAction = { None: 'none', Claim: 'claim', Renew: 'renew' } as const
export type LeaseAction = (typeof LeaseAction)[keyof typeof LeaseAction]

/** Whether this host is the holder and its lease is still valid by its own clock. */
export function isHolderByOwnClock (input: LeaseInput, settings: LeaseSettings): boolean {
  if (input.claim?.sender.incarnation !== input.self.incarnation || input.claim.released) return false
  return input.nowMs < input.ownRecordSentMs + settings.leaseMs
}

/** When another host may claim. It counts from the time at which it read the holder's record, and adds clock drift and a margin. */
export function expiresForOthersMs (holderRecordMs: number, claim: Claim, settings: LeaseSettings): number {
  return holderRecordMs + claim.leaseMs * (1 + settings.driftRatio) + settings.marginMs
}

/** Decides what this host appends now. */
export function decideLease (input: LeaseInput, settings: LeaseSettings): LeaseAction {
  const { claim, nowMs } = input
  if (claim !== undefined && claim.sender.incarnation === input.self.incarnation && !claim.released) {
    return nowMs >= renewDueMs(input, settings) ? LeaseAction.Renew : LeaseAction.None
  }
  if (input.logReadableSinceMs === undefined) return LeaseAction.None
  const readyMs = input.logReadableSinceMs + (claim === undefined || claim.released ? 0 : settings.minLogReadableMs)
  const claimMs = Math.max(readyMs, claimableFromMs(input, settings)) + input.rank * settings.staggerMs
  return nowMs >= claimMs ? LeaseAction.Claim : LeaseAction.None
}

/** Candidates in the order in which they claim; the order differs between cells so that leases spread over the hosts. */
export function rankCandidates (cell: string, hosts: string[]): string[] {
  return rankByRendezvous(cell, [...new Set(hosts)], (host) => host)
}

/** A holder whose lease expired during a pause or an outage waits before it renews, to read a successor's claim first. */
function renewDueMs (input: LeaseInput, settings: LeaseSettings): number {
  const dueMs = input.ownRecordSentMs + settings.renewEveryMs
  if (input.expiryNoticedMs === undefined) return dueMs
  const readingMs = Math.max(input.expiryNoticedMs, input.logReadableSinceMs ?? Infinity)
  return Math.max(dueMs, readingMs + settings.staggerMs)
}

function claimableFromMs (input: LeaseInput, settings: LeaseSettings): number {
  if (input.claim === undefined) return 0
  if (input.claim.released) return input.holderRecordMs
  const expiresMs = expiresForOthersMs(input.holderRecordMs, input.claim, settings)
  return input.suspectedSinceMs === undefined ? expiresMs : Math.min(expiresMs, input.suspectedSinceMs)
}
