/**
 * Decides which feature of requests is the likely cause of ends of runners' processes. What ends runners was present at each such
 * end, and no answer to it follows. Two kinds of features are weighed: a whole request, which is the narrower explanation and
 * comes first, and a part of a prompt, which requests share. Pure functions.
 */
import { isRequestKey } from './request-key.js'
import type { EndRecord } from './types.js'

/** Ends of different processes within this time have one cause, such as a power failure, and count once. */
const SAME_CAUSE_MS = 150
/** Features that were answered within this time before their first end were more likely present by chance. */
const RECENT_ANSWER_MS = 60_000
/** Until this long after its start a host may not know of answers to features that are in frequent use. */
const UNKNOWN_HISTORY_MS = 5_000
/** Processes that ended with a request that nobody answered, after which it is blocked: a wrong block costs one request. */
const REQUEST_ENDS = 3
/** Its share in all ends of that time, below which many runners ended for another cause and it was sent from one to the next. */
const MIN_REQUEST_SHARE = 0.3
/** Processes after which it is blocked whatever its share. */
const SUFFICIENT_REQUEST_ENDS = 5
/** The same, by causes, if it may have been answered shortly before, as it is when many callers send the same bytes. */
const REQUEST_ENDS_AFTER_ANSWERS = 5
/** Time over which these have to be spread: a loss of power, or a cut that heals, ends many runners within less, and no answer comes meanwhile. */
const MIN_SPAN_MS = 2_500
/** Ends after which a part is blocked if it is the likely cause of them. */
const MIN_ENDS = 3
/** Sum over these ends of the part's share in the suspect prompts: a part that was one of many at each end is less likely the cause. */
const MIN_SHARE_SUM = 1.5
/** Ends after which a part is blocked in any case. */
const SUFFICIENT_ENDS = 5
/** The same if requests with the part may have been answered shortly before. */
const SUFFICIENT_ENDS_AFTER_ANSWERS = 8
/** Ends, or blocked requests, that a part alone explains, without which it isn't blocked beside another feature. */
const MIN_OWN_EVIDENCE = 2

/** A feature to be blocked, and the number of ends that count against it. */
export type BlockDecision = { featureId: string, ends: number }

/** What a host knows of ends, answers and blocks. */
export type KnownCrashes = {
  ends: readonly EndRecord[]
  /** Whether no answer since then clears the feature of this end. */
  isSuspect: (featureId: string, end: EndRecord) => boolean
  lastAnswerMs: (featureId: string) => number | undefined
  /** When an answer to the request began last, if that was behind an end at which it was present. */
  lastBegunMs: (key: string) => number | undefined
  /** When this host started to hear of answers. */
  startedMs: number
  isBlocked: (featureId: string) => boolean
}

type End = { end: EndRecord, cause: number, isExplained: boolean }

/** Ends that count against a request, in the order of their times. */
type RequestCandidate = { ends: End[] }

type PartCandidate = {
  featureId: string
  /** The causes of ends that count against the part, each with the part's largest share in the suspect prompts of an end. */
  shares: Map<number, number>
  /** Causes of ends at which no blocked feature was present. */
  unexplained: Set<number>
  /** Blocked requests that have the part. */
  blockedRequests: Set<string>
  firstEndMs: number
  /** Largest index of the part in a request. */
  position: number
  hasNewEnd: boolean
}

/** The features to be blocked next; of whole requests, all those that the same number of ends speaks against. */
export function findLikelyCauses (known: KnownCrashes): BlockDecision[] {
  const ends = listEnds(known)
  const requests = likelyRequests(known, ends)
  if (requests.length > 0) return requests
  const part = [...partCandidates(known, ends).values()].filter((candidate) => isLikelyPart(known, candidate)).sort(compareParts)[0]
  return part === undefined ? [] : [{ featureId: part.featureId, ends: part.shares.size }]
}

/** Numbers the ends by cause, in the order of their times. */
function listEnds ({ ends, isBlocked }: KnownCrashes): End[] {
  let cause = 0
  let startMs = -Infinity
  return [...ends].sort((a, b) => a.endedMs - b.endedMs).map((end) => {
    if (end.endedMs - startMs >= SAME_CAUSE_MS) {
      cause += 1
      startMs = end.endedMs
    }
    return { end, cause, isExplained: end.requests.flat().some(isBlocked) || end.running.some(isBlocked) }
  })
}

function likelyRequests (known: KnownCrashes, ends: readonly End[]): BlockDecision[] {
  const likely = [...requestCandidates(known, ends)].filter(([key, candidate]) => isLikelyRequest(known, ends, key, candidate.ends))
  const mostEnds = Math.max(...likely.map(([, candidate]) => candidate.ends.length))
  return likely.filter(([, candidate]) => candidate.ends.length === mostEnds).map(([featureId, candidate]) => ({ featureId, ends: candidate.ends.length }))
}

function requestCandidates ({ isSuspect }: KnownCrashes, ends: readonly End[]): Map<string, RequestCandidate> {
  const candidates = new Map<string, RequestCandidate>()
  for (const one of ends) {
    if (one.isExplained) continue
    for (const key of requestKeys(one.end)) {
      if (!isSuspect(key, one.end)) continue
      const candidate = candidates.get(key) ?? { ends: [] }
      candidates.set(key, candidate)
      candidate.ends.push(one)
    }
  }
  return candidates
}

function requestKeys ({ requests, running }: EndRecord): Set<string> {
  return new Set([...requests.flat().filter(isRequestKey), ...running])
}

function isLikelyRequest (known: KnownCrashes, all: readonly End[], key: string, ends: readonly End[]): boolean {
  const [first, last] = [ends.at(0), ends.at(-1)]
  // Records of earlier processes may lack an answer that came behind them.
  if (first === undefined || last === undefined || !ends.some(({ end }) => !end.inherited)) return false
  if (mayBeInUse(known, key, first.end.endedMs)) {
    // Of many callers' requests some begin, and are broken off by ends that have another cause.
    const later = ends.filter(({ end }) => end.endedMs > (known.lastBegunMs(key) ?? -Infinity))
    if (later.length < ends.length) return isLikelyRequest(known, all, key, later)
    return new Set(ends.map(({ cause }) => cause)).size >= REQUEST_ENDS_AFTER_ANSWERS && last.end.endedMs - first.end.endedMs >= MIN_SPAN_MS
  }
  if (ends.length < REQUEST_ENDS) return false
  return ends.length >= SUFFICIENT_REQUEST_ENDS || ends.length >= MIN_REQUEST_SHARE * countEndsDuring(all, first, last)
}

/** Ends from the first of these to the last one, and of the moments around them. */
function countEndsDuring (ends: readonly End[], first: End, last: End): number {
  const [fromMs, untilMs] = [first.end.endedMs - SAME_CAUSE_MS, last.end.endedMs + SAME_CAUSE_MS]
  return ends.filter(({ end, isExplained }) => !isExplained && end.endedMs > fromMs && end.endedMs < untilMs).length
}

function partCandidates ({ isSuspect, isBlocked }: KnownCrashes, ends: readonly End[]): Map<string, PartCandidate> {
  const candidates = new Map<string, PartCandidate>()
  for (const { end, cause, isExplained } of ends) {
    const isSuspectPart = (featureId: string) => !isRequestKey(featureId) && isSuspect(featureId, end)
    const requests = end.requests.filter((request) => request.some(isSuspectPart))
    for (const request of requests) {
      const blocked = request.filter(isBlocked)
      // A request beside one with a blocked feature is no suspect. One that has it is: the wrong feature may be blocked.
      if (isExplained && blocked.length === 0) continue
      request.forEach((featureId, position) => {
        if (isBlocked(featureId) || !isSuspectPart(featureId)) return
        const candidate = candidates.get(featureId) ?? createPartCandidate(featureId, end.endedMs)
        candidates.set(featureId, candidate)
        candidate.shares.set(cause, Math.max(candidate.shares.get(cause) ?? 0, 1 / requests.length))
        candidate.position = Math.max(candidate.position, position)
        candidate.hasNewEnd ||= !end.inherited
        if (!isExplained) candidate.unexplained.add(cause)
        for (const key of blocked.filter(isRequestKey)) candidate.blockedRequests.add(key)
      })
    }
  }
  return candidates
}

function createPartCandidate (featureId: string, firstEndMs: number): PartCandidate {
  return { featureId, shares: new Map(), unexplained: new Set(), blockedRequests: new Set(), firstEndMs, position: 0, hasNewEnd: false }
}

function isLikelyPart (known: KnownCrashes, candidate: PartCandidate): boolean {
  const { featureId, shares, firstEndMs, hasNewEnd } = candidate
  if (!hasNewEnd || ownEvidence(candidate) < MIN_OWN_EVIDENCE) return false
  if (mayBeInUse(known, featureId, firstEndMs)) return shares.size >= SUFFICIENT_ENDS_AFTER_ANSWERS
  if (shares.size >= SUFFICIENT_ENDS) return true
  const shareSum = [...shares.values()].reduce((sum, share) => sum + share, 0)
  return shares.size >= MIN_ENDS && shareSum >= MIN_SHARE_SUM
}

/** The ends of one blocked request say nothing about its parts; several such requests with the same part do. */
function ownEvidence ({ unexplained, blockedRequests }: PartCandidate): number {
  return unexplained.size + blockedRequests.size
}

/** The most evidence first; of parts that always occur together, the last one, as earlier parts are shared by more requests. */
function compareParts (a: PartCandidate, b: PartCandidate): number {
  return ownEvidence(b) - ownEvidence(a) || b.position - a.position || (a.featureId < b.featureId ? -1 : 1)
}

/** Requests with the feature were answered shortly before its first end, or that isn't known. */
function mayBeInUse ({ lastAnswerMs, startedMs }: KnownCrashes, featureId: string, firstEndMs: number): boolean {
  if (firstEndMs < startedMs + UNKNOWN_HISTORY_MS) return true
  const answeredMs = lastAnswerMs(featureId)
  return answeredMs !== undefined && firstEndMs - answeredMs < RECENT_ANSWER_MS
}
