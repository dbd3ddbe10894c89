import t from 'tap'
import { LimitEstimate } from './limit-estimate.js'
import type { LimitReport } from './types.js'

type Observed = { rate?: number, requestedMs: number, receivedMs: number, origin?: string }

/** An estimate that received the observations in this order. */
function createEstimate (observations: readonly Observed[], nowMs: number): LimitEstimate {
  const estimate = LimitEstimate.create('runner', 1)
  observations.forEach((observed, number) => estimate.receive(toReport(observed, number, nowMs), nowMs))
  return estimate
}

function toReport ({ rate, requestedMs, receivedMs, origin = 'host' }: Observed, number: number, nowMs: number): LimitReport {
  return { runnerId: 'runner', startedUnixMs: 1, origin: `${origin}-${number}`, number, requestsPerS: rate, askedAgoMs: nowMs - requestedMs, heardAgoMs: nowMs - receivedMs }
}

function limitAfter (observations: readonly Observed[], nowMs = 1_000): number | undefined {
  return createEstimate(observations, nowMs).limit(nowMs)?.requestsPerS
}

t.test('a limit is in force from the first answer that names it', async (t) => {
  t.equal(limitAfter([{ rate: 2, requestedMs: 10, receivedMs: 20 }]), 2)
})

t.test('an answer without a limit that was overtaken by the answer with a limit does not end that limit', async (t) => {
  t.equal(limitAfter([{ rate: 2, requestedMs: 10, receivedMs: 20 }, { requestedMs: 5, receivedMs: 30 }]), 2)
})

t.test('an answer without a limit to a later request ends the limit', async (t) => {
  t.equal(limitAfter([{ rate: 2, requestedMs: 10, receivedMs: 20 }, { requestedMs: 21, receivedMs: 30 }]), undefined)
})

t.test('a limit in a late answer to an earlier request does not replace a newer observation', async (t) => {
  t.equal(limitAfter([{ requestedMs: 21, receivedMs: 30 }, { rate: 2, requestedMs: 10, receivedMs: 20 }]), undefined)
})

t.test('a lower limit applies at once, a higher one only if it was certainly named later', async (t) => {
  t.equal(limitAfter([{ rate: 2, requestedMs: 10, receivedMs: 20 }, { rate: 1, requestedMs: 11, receivedMs: 19 }]), 1)
  t.equal(limitAfter([{ rate: 1, requestedMs: 10, receivedMs: 20 }, { rate: 2, requestedMs: 15, receivedMs: 25 }]), 1)
  t.equal(limitAfter([{ rate: 1, requestedMs: 10, receivedMs: 20 }, { rate: 2, requestedMs: 21, receivedMs: 25 }]), 2)
})

t.test('the estimate does not depend on the order of arrival', async (t) => {
  const observations = [
    { rate: 1, requestedMs: 10, receivedMs: 20 },
    { requestedMs: 21, receivedMs: 30 },
    { rate: 3, requestedMs: 25, receivedMs: 40 },
    { rate: 2, requestedMs: 41, receivedMs: 50 }
  ]
  for (const order of [[0, 1, 2, 3], [3, 2, 1, 0], [2, 0, 3, 1], [1, 3, 0, 2]]) {
    t.equal(limitAfter(order.flatMap((at) => observations[at] ?? [])), 2)
  }
})

t.test('an observation that is reported again does not become fresher', async (t) => {
  const estimate = LimitEstimate.create('runner', 1)
  const report = toReport({ rate: 2, requestedMs: 0, receivedMs: 0 }, 1, 0)
  for (let nowMs = 0; nowMs < 30_000; nowMs += 500) estimate.receive({ ...report, heardAgoMs: 0 }, nowMs)
  t.equal(estimate.limit(30_000), undefined)
})

t.test('another host that receives the reports comes to the same estimate', async (t) => {
  const first = createEstimate([{ rate: 2, requestedMs: 10, receivedMs: 20 }, { rate: 1, requestedMs: 15, receivedMs: 25 }], 1_000)
  const second = LimitEstimate.create('runner', 1)
  for (const report of first.reports(1_000)) second.receive(report, 1_100)
  t.equal(second.limit(1_100)?.requestsPerS, 1)
  first.receive(toReport({ requestedMs: 1_200, receivedMs: 1_210 }, 9, 1_210), 1_210)
  for (const report of first.reports(1_210)) second.receive(report, 1_310)
  t.equal(second.limit(1_310), undefined)
})
