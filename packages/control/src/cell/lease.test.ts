import t from 'tap'
import {
  considersSelfHolder, decideLease, DEFAULT_LEASE_SETTINGS, expiresForOthersMs, LeaseAction, rankCandidates, type LeaseInput
} from './lease.js'
import { hostA, hostB } from './cell-fixtures.js'

const settings = DEFAULT_LEASE_SETTINGS
const claim = { offset: 1, sender: hostA, leaseMs: settings.leaseMs, released: false }
const input: LeaseInput = {
  nowMs: 0, self: hostB, claim, heardMs: 0, sentMs: 0, readsSinceMs: 0, suspectedSinceMs: undefined, rank: 0
}

t.test('holder lapses before others may claim', async (t) => {
  const sentMs = 1_000
  const heardMs = 1_000
  const expiresMs = expiresForOthersMs(heardMs, claim, settings)
  t.notOk(considersSelfHolder({ ...input, self: hostA, sentMs, nowMs: sentMs + settings.leaseMs }, settings))
  t.equal(decideLease({ ...input, heardMs, nowMs: expiresMs - 1 }, settings), LeaseAction.None)
  t.equal(decideLease({ ...input, heardMs, nowMs: expiresMs }, settings), LeaseAction.Claim)
  t.ok(sentMs + settings.leaseMs < expiresMs)
})

t.test('holder renews in time', async (t) => {
  const own = { ...input, self: hostA }
  t.equal(decideLease({ ...own, nowMs: settings.renewEveryMs - 1 }, settings), LeaseAction.None)
  t.equal(decideLease({ ...own, nowMs: settings.renewEveryMs }, settings), LeaseAction.Renew)
})

t.test('holder paused past its lease reads before it renews', async (t) => {
  const nowMs = settings.leaseMs + 1
  const own = { ...input, self: hostA, nowMs, lapseNoticedMs: nowMs }
  t.equal(decideLease(own, settings), LeaseAction.None)
  t.equal(decideLease({ ...own, nowMs: nowMs + settings.staggerMs }, settings), LeaseAction.Renew)
  t.equal(decideLease({ ...own, nowMs: nowMs + settings.staggerMs, readsSinceMs: undefined }, settings), LeaseAction.None)
})

t.test('candidates claim one after another', async (t) => {
  const expiresMs = expiresForOthersMs(0, claim, settings)
  t.equal(decideLease({ ...input, rank: 2, nowMs: expiresMs + settings.staggerMs }, settings), LeaseAction.None)
  t.equal(decideLease({ ...input, rank: 2, nowMs: expiresMs + 2 * settings.staggerMs }, settings), LeaseAction.Claim)
})

t.test('silent holder is succeeded early', async (t) => {
  t.equal(decideLease({ ...input, nowMs: 3_000, suspectedSinceMs: 3_000 }, settings), LeaseAction.Claim)
})

t.test('no claim until the log has answered for a while', async (t) => {
  const nowMs = 60_000
  t.equal(decideLease({ ...input, nowMs, readsSinceMs: undefined }, settings), LeaseAction.None)
  t.equal(decideLease({ ...input, nowMs, readsSinceMs: nowMs - settings.settledReadsMs + 1 }, settings), LeaseAction.None)
  t.equal(decideLease({ ...input, nowMs, readsSinceMs: nowMs - settings.settledReadsMs }, settings), LeaseAction.Claim)
})

t.test('released lease is claimed at once', async (t) => {
  t.equal(decideLease({ ...input, claim: { ...claim, released: true }, nowMs: 1 }, settings), LeaseAction.Claim)
})

t.test('rank differs between cells', async (t) => {
  const hosts = ['host-a', 'host-b', 'host-c', 'host-d']
  const orders = new Set(Array.from({ length: 8 }, (_, cell) => rankCandidates(`cell-${cell}`, hosts).join()))
  t.ok(orders.size > 1)
  t.same(rankCandidates('cell-1', hosts), rankCandidates('cell-1', [...hosts].reverse()))
})

t.test('renewals of 400 cells stay few', async (t) => {
  t.ok(400 / (settings.renewEveryMs / 1_000) <= 50)
})
