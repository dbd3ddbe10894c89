import t from 'tap'
import {
  isHolderByOwnClock, decideLease, DEFAULT_LEASE_SETTINGS, expiresForOthersMs, LeaseAction, rankCandidates, type LeaseInput
} from './lease.js'
import { hostA, hostB } from './cell-fixtures.js'

const settings = DEFAULT_LEASE_SETTINGS
const claim = { offset: 1, sender: hostA, leaseMs: settings.leaseMs, released: false }
const input: LeaseInput = {
  nowMs: 0, self: hostB, claim, holderRecordMs: 0, ownRecordSentMs: 0, logReadableSinceMs: 0, suspectedSinceMs: undefined, rank: 0
}

t.test('holder counts its lease as expired before other hosts may claim', async (t) => {
  const ownRecordSentMs = 1_000
  const holderRecordMs = 1_000
  const expiresMs = expiresForOthersMs(holderRecordMs, claim, settings)
  t.notOk(isHolderByOwnClock({ ...input, self: hostA, ownRecordSentMs, nowMs: ownRecordSentMs + settings.leaseMs }, settings))
  t.equal(decideLease({ ...input, holderRecordMs, nowMs: expiresMs - 1 }, settings), LeaseAction.None)
  t.equal(decideLease({ ...input, holderRecordMs, nowMs: expiresMs }, settings), LeaseAction.Claim)
  t.ok(ownRecordSentMs + settings.leaseMs < expiresMs)
})

t.test('holder renews in time', async (t) => {
  const own = { ...input, self: hostA }
  t.equal(decideLease({ ...own, nowMs: settings.renewEveryMs - 1 }, settings), LeaseAction.None)
  t.equal(decideLease({ ...own, nowMs: settings.renewEveryMs }, settings), LeaseAction.Renew)
})

t.test('holder paused beyond its lease reads the log before it renews', async (t) => {
  const nowMs = settings.leaseMs + 1
  const own = { ...input, self: hostA, nowMs, expiryNoticedMs: nowMs }
  t.equal(decideLease(own, settings), LeaseAction.None)
  t.equal(decideLease({ ...own, nowMs: nowMs + settings.staggerMs }, settings), LeaseAction.Renew)
  t.equal(decideLease({ ...own, nowMs: nowMs + settings.staggerMs, logReadableSinceMs: undefined }, settings), LeaseAction.None)
})

t.test('candidates claim one after another', async (t) => {
  const expiresMs = expiresForOthersMs(0, claim, settings)
  t.equal(decideLease({ ...input, rank: 2, nowMs: expiresMs + settings.staggerMs }, settings), LeaseAction.None)
  t.equal(decideLease({ ...input, rank: 2, nowMs: expiresMs + 2 * settings.staggerMs }, settings), LeaseAction.Claim)
})

t.test('suspected holder is succeeded before its lease expires', async (t) => {
  t.equal(decideLease({ ...input, nowMs: 3_000, suspectedSinceMs: 3_000 }, settings), LeaseAction.Claim)
})

t.test('no claim until the log has been readable for minLogReadableMs', async (t) => {
  const nowMs = 60_000
  t.equal(decideLease({ ...input, nowMs, logReadableSinceMs: undefined }, settings), LeaseAction.None)
  t.equal(decideLease({ ...input, nowMs, logReadableSinceMs: nowMs - settings.minLogReadableMs + 1 }, settings), LeaseAction.None)
  t.equal(decideLease({ ...input, nowMs, logReadableSinceMs: nowMs - settings.minLogReadableMs }, settings), LeaseAction.Claim)
})

t.test('released lease is claimed at once', async (t) => {
  t.equal(decideLease({ ...input, claim: { ...claim, released: true }, nowMs: 1 }, settings), LeaseAction.Claim)
})

t.test('candidate order differs between cells', async (t) => {
  const hosts = ['host-a', 'host-b', 'host-c', 'host-d']
  const orders = new Set(Array.from({ length: 8 }, (_, cell) => rankCandidates(`cell-${cell}`, hosts).join()))
  t.ok(orders.size > 1)
  t.same(rankCandidates('cell-1', hosts), rankCandidates('cell-1', [...hosts].reverse()))
})

t.test('renewals of 400 cells stay below 50 per second', async (t) => {
  t.ok(400 / (settings.renewEveryMs / 1_000) <= 50)
})
