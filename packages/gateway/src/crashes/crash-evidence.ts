/**
 * Collects ends of runners' processes with the requests that were there, and answers, which clear the features of these requests.
 * Records merge in any order and with repeats, so hosts that know the same records decide the same. Pure state; times are
 * milliseconds of a clock that also counts suspensions.
 */
import { findLikelyCauses, type BlockDecision } from './likely-causes.js'
import { isRequestKey } from './request-key.js'
import type { BegunRecord, EndRecord } from './types.js'

/** An answer this long before an end clears its features too: the age of another host's record is known only roughly. */
const ANSWER_MARGIN_MS = 1_000
const RETENTION_MS = 600_000
const MAX_ENDS = 64
/** More than a runner has in work and in its queue. */
const MAX_REQUESTS_PER_END = 192
const MAX_RUNNING_PER_END = 64
const MAX_FEATURES_PER_REQUEST = 16
/** Marks the time at which an answer to a request began last, beside that of its last whole answer. */
const BEGUN_PREFIX = 'begun/'
/** Features whose last answer is remembered, the most recent ones first; parts and whole requests each. */
const MAX_REMEMBERED_FEATURES = 8_192

export class CrashEvidence {
  readonly #ends = new Map<string, EndRecord>()
  /** Ends at which a feature was present, by feature. */
  readonly #endsByFeature = new Map<string, Map<string, EndRecord>>()
  /** Last answers of features that occur in the records of ends. */
  readonly #cleared = new Map<string, number>()
  readonly #answeredParts = new AnswerTimes()
  readonly #answeredRequests = new AnswerTimes()

  private constructor (private readonly startedMs: number) {}

  /** @param startedMs when this host started to hear of answers */
  static create (startedMs: number): CrashEvidence {
    return new CrashEvidence(startedMs)
  }

  /** Merges a record of an end; returns whether it holds anything new. */
  addEnd ({ process, endedMs, requests, running, inherited }: EndRecord): boolean {
    const known = this.#ends.get(process)
    const merged: EndRecord = {
      process,
      endedMs: Math.min(endedMs, known?.endedMs ?? Infinity),
      requests: mergeRequests(known?.requests ?? [], requests.filter((request) => request.length > 0)),
      running: mergeKeys(known?.running ?? [], running),
      inherited: inherited && known?.inherited !== false
    }
    if (!holdsMore(merged, known)) return false
    this.#put(merged)
    if (this.#ends.size > MAX_ENDS) this.#dropOldest()
    return true
  }

  /** This host received an answer, or the first part of one, to a request with these features; returns whether it clears any of an end. */
  onAnswer (featureIds: readonly string[], nowMs: number): boolean {
    for (const featureId of featureIds) this.#answersOf(featureId).set(featureId, nowMs)
    return featureIds.filter((featureId) => this.#shareAnswer(featureId, nowMs)).length > 0
  }

  /** This host received the first part of an answer to this request, which may still end its runner; returns whether that is news for other hosts. */
  onRequestBegun (key: string, nowMs: number): boolean {
    return this.#shareBegun(`${BEGUN_PREFIX}${key}`, nowMs)
  }

  /** Merges another host's record of an answer; returns whether it clears a feature of an end. */
  addBegun ({ featureId, begunMs }: BegunRecord): boolean {
    return featureId.startsWith(BEGUN_PREFIX) ? this.#shareBegun(featureId, begunMs) : this.#shareAnswer(featureId, begunMs)
  }

  /** When this process ended, if that is known. */
  endedMs (process: string): number | undefined {
    return this.#ends.get(process)?.endedMs
  }

  /** What remains of an end without the features that answers clear, and without those that were present at fewer ends. */
  suspectsOf (end: EndRecord, minEnds: number): EndRecord {
    const remains = (featureId: string) => this.#isSuspect(featureId, end) && this.endsOf(featureId).length >= minEnds
    const requests = end.requests.map((request) => request.filter(remains)).filter((request) => request.length > 0)
    return { ...end, requests, running: end.running.filter(remains) }
  }

  /** Ends at which this feature was present, and that no later answer clears. */
  endsOf (featureId: string): EndRecord[] {
    return [...this.#endsByFeature.get(featureId)?.values() ?? []].filter((end) => this.#isSuspect(featureId, end))
  }

  /** When a request with this feature was answered last, as far as this host knows. */
  lastAnswerMs (featureId: string): number | undefined {
    const lastMs = Math.max(this.#cleared.get(featureId) ?? -Infinity, this.#answersOf(featureId).get(featureId) ?? -Infinity)
    return lastMs === -Infinity ? undefined : lastMs
  }

  /** The features that have to be blocked next. */
  nextBlocks (isBlocked: (featureId: string) => boolean): BlockDecision[] {
    return findLikelyCauses({
      ends: [...this.#ends.values()],
      isSuspect: (featureId, end) => this.#isSuspect(featureId, end),
      lastAnswerMs: (featureId) => this.lastAnswerMs(featureId),
      lastBegunMs: (key) => this.#cleared.get(`${BEGUN_PREFIX}${key}`),
      startedMs: this.startedMs,
      isBlocked
    })
  }

  /** Records of ends, for other hosts. */
  endRecords (): EndRecord[] {
    return [...this.#ends.values()]
  }

  begunRecords (): BegunRecord[] {
    return [...this.#cleared].map(([featureId, begunMs]) => ({ featureId, begunMs }))
  }

  sweep (nowMs: number): void {
    for (const end of this.#ends.values()) {
      if (nowMs - end.endedMs > RETENTION_MS) this.#drop(end)
    }
    for (const featureId of this.#cleared.keys()) if (!this.#endsByFeature.has(withoutPrefix(featureId))) this.#cleared.delete(featureId)
  }

  #answersOf (featureId: string): AnswerTimes {
    return isRequestKey(featureId) ? this.#answeredRequests : this.#answeredParts
  }

  /** An answer is shared only if it clears a feature of an end: features in frequent use would otherwise change with each answer. */
  #shareAnswer (featureId: string, begunMs: number | undefined): boolean {
    if (begunMs === undefined || begunMs <= (this.#cleared.get(featureId) ?? -Infinity)) return false
    const isNews = this.endsOf(featureId).some(({ endedMs }) => begunMs >= endedMs - ANSWER_MARGIN_MS)
    if (isNews) this.#cleared.set(featureId, begunMs)
    return isNews
  }

  /** Shared only if it is later than an end at which the request was present, and not with each further answer. */
  #shareBegun (markedKey: string, begunMs: number): boolean {
    const sharedMs = this.#cleared.get(markedKey) ?? -Infinity
    const isNews = this.endsOf(withoutPrefix(markedKey)).some(({ endedMs }) => endedMs > sharedMs && begunMs >= endedMs)
    if (isNews) this.#cleared.set(markedKey, begunMs)
    return isNews
  }

  #isSuspect (featureId: string, { endedMs }: EndRecord): boolean {
    const clearedMs = this.#cleared.get(featureId)
    return clearedMs === undefined || clearedMs < endedMs - ANSWER_MARGIN_MS
  }

  #put (end: EndRecord): void {
    this.#ends.set(end.process, end)
    for (const featureId of featuresOf(end)) {
      const ends = this.#endsByFeature.get(featureId) ?? new Map<string, EndRecord>()
      this.#endsByFeature.set(featureId, ends.set(end.process, end))
      this.#shareAnswer(featureId, this.#answersOf(featureId).get(featureId))
    }
  }

  #dropOldest (): void {
    this.#drop([...this.#ends.values()].reduce((a, b) => a.endedMs <= b.endedMs ? a : b))
  }

  #drop (end: EndRecord): void {
    this.#ends.delete(end.process)
    for (const featureId of featuresOf(end)) {
      const ends = this.#endsByFeature.get(featureId)
      ends?.delete(end.process)
      if (ends?.size === 0) this.#endsByFeature.delete(featureId)
    }
  }
}

/** When features were answered last, in the order of these times. */
class AnswerTimes {
  readonly #times = new Map<string, number>()

  get (featureId: string): number | undefined {
    return this.#times.get(featureId)
  }

  set (featureId: string, atMs: number): void {
    this.#times.delete(featureId)
    this.#times.set(featureId, atMs)
    if (this.#times.size <= MAX_REMEMBERED_FEATURES) return
    const [oldest] = this.#times.keys()
    if (oldest !== undefined) this.#times.delete(oldest)
  }
}

function withoutPrefix (featureId: string): string {
  return featureId.startsWith(BEGUN_PREFIX) ? featureId.slice(BEGUN_PREFIX.length) : featureId
}

function featuresOf ({ requests, running }: EndRecord): Set<string> {
  return new Set([...requests.flat(), ...running])
}

function holdsMore (merged: EndRecord, known: EndRecord | undefined): boolean {
  if (known?.inherited === true && !merged.inherited) return true
  const before = new Set([...known?.requests.map(rankOf) ?? [], ...known?.running ?? []])
  return [...merged.requests.map(rankOf), ...merged.running].some((id) => !before.has(id))
}

/** Where there are too many, hosts keep the same ones, whatever the order in which they learn of them. */
function mergeRequests (known: readonly (readonly string[])[], added: readonly (readonly string[])[]): (readonly string[])[] {
  const merged = new Map(known.map((request) => [rankOf(request), request]))
  for (const request of added) {
    const bounded = request.slice(-MAX_FEATURES_PER_REQUEST)
    merged.set(rankOf(bounded), bounded)
  }
  if (merged.size <= MAX_REQUESTS_PER_END) return [...merged.values()]
  return [...merged].sort(([a], [b]) => a < b ? -1 : 1).slice(0, MAX_REQUESTS_PER_END).map(([, request]) => request)
}

/** The key of the whole request first: it is spread evenly, so no prompt is favored. */
function rankOf (request: readonly string[]): string {
  return request.toReversed().join(',')
}

function mergeKeys (known: readonly string[], added: readonly string[]): string[] {
  return [...new Set([...known, ...added])].sort().slice(0, MAX_RUNNING_PER_END)
}
