import t from 'tap'
import { LimitBelief } from './limit-belief.js'
import type { LimitReport } from './types.js'

type Word = { rate?: number, askedMs: number, heardMs: number, origin?: string }

/** A belief that has heard the words in this order; ages are counted from `nowMs`. */
function believe (words: readonly Word[], nowMs: number): LimitBelief {
  const belief = LimitBelief.create('runner', 1)
  words.forEach((word, number) => belief.hear(toReport(word, number, nowMs), nowMs))
  return belief
}

function toReport ({ rate, askedMs, heardMs, origin = 'host' }: Word, number: number, nowMs: number): LimitReport {
  return { runnerId: 'runner', startedUnixMs: 1, origin: `${origin}-${number}`, number, requestsPerS: rate, askedAgoMs: nowMs - askedMs, heardAgoMs: nowMs - heardMs }
}

function rateAfter (words: readonly Word[], nowMs = 1_000): number | undefined {
  return believe(words, nowMs).limit(nowMs)?.requestsPerS
}

t.test('a limit holds from the first answer that names it', async (t) => {
  t.equal(rateAfter([{ rate: 2, askedMs: 10, heardMs: 20 }]), 2)
})

t.test('an overtaken answer without a limit does not lift a new one', async (t) => {
  t.equal(rateAfter([{ rate: 2, askedMs: 10, heardMs: 20 }, { askedMs: 5, heardMs: 30 }]), 2)
})

t.test('an answer to a later request lifts the limit', async (t) => {
  t.equal(rateAfter([{ rate: 2, askedMs: 10, heardMs: 20 }, { askedMs: 21, heardMs: 30 }]), undefined)
})

t.test('an old limit that comes late is not taken for a new one', async (t) => {
  t.equal(rateAfter([{ askedMs: 21, heardMs: 30 }, { rate: 2, askedMs: 10, heardMs: 20 }]), undefined)
})

t.test('a lower limit counts at once, a higher one only behind the lower', async (t) => {
  t.equal(rateAfter([{ rate: 2, askedMs: 10, heardMs: 20 }, { rate: 1, askedMs: 11, heardMs: 19 }]), 1)
  t.equal(rateAfter([{ rate: 1, askedMs: 10, heardMs: 20 }, { rate: 2, askedMs: 15, heardMs: 25 }]), 1)
  t.equal(rateAfter([{ rate: 1, askedMs: 10, heardMs: 20 }, { rate: 2, askedMs: 21, heardMs: 25 }]), 2)
})

t.test('the order of arrival changes nothing', async (t) => {
  const words = [{ rate: 1, askedMs: 10, heardMs: 20 }, { askedMs: 21, heardMs: 30 }, { rate: 3, askedMs: 25, heardMs: 40 }, { rate: 2, askedMs: 41, heardMs: 50 }]
  for (const order of [[0, 1, 2, 3], [3, 2, 1, 0], [2, 0, 3, 1], [1, 3, 0, 2]]) {
    t.equal(rateAfter(order.flatMap((at) => words[at] ?? [])), 2)
  }
})

t.test('a word that is told again does not become younger', async (t) => {
  const belief = LimitBelief.create('runner', 1)
  const word = toReport({ rate: 2, askedMs: 0, heardMs: 0 }, 1, 0)
  for (let nowMs = 0; nowMs < 30_000; nowMs += 500) belief.hear({ ...word, heardAgoMs: 0 }, nowMs)
  t.equal(belief.limit(30_000), undefined)
})

t.test('another host believes the same by what it is told', async (t) => {
  const first = believe([{ rate: 2, askedMs: 10, heardMs: 20 }, { rate: 1, askedMs: 15, heardMs: 25 }], 1_000)
  const second = LimitBelief.create('runner', 1)
  for (const report of first.reports(1_000)) second.hear(report, 1_100)
  t.equal(second.limit(1_100)?.requestsPerS, 1)
  first.hear(toReport({ askedMs: 1_200, heardMs: 1_210 }, 9, 1_210), 1_210)
  for (const report of first.reports(1_210)) second.hear(report, 1_310)
  t.equal(second.limit(1_310), undefined)
})
