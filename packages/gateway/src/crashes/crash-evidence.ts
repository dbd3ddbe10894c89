/**
 * Finds the request parts under which runners' processes end. A part that ends runners was present at each such end in a request
 * that had not begun, and no request with it ever begins. Records merge in any order and with repeats, so hosts that know the
 * same records decide the same. Pure state; times are milliseconds of a clock that also counts suspensions.
 */
import type { BegunRecord, EndRecord } from './types.js'

/** Ends of different processes within this time have one cause, such as a power failure, and count once. */
const SAME_CAUSE_MS = 150
/** Ends after which a part is blocked if it is the likely cause of them. */
const MIN_ENDS = 3
/** Sum over these ends of the part's share in the suspect requests: a part that was one of many at each end is less likely the cause. */
const MIN_SHARE_SUM = 1.5
/** Ends after which a part is blocked in any case. */
const SUFFICIENT_ENDS = 5
/** The same if requests with the part began within `RECENT_ANSWER_MS` before them: other causes are more likely than a part that has changed. */
const SUFFICIENT_ENDS_AFTER_ANSWERS = 8
const RECENT_ANSWER_MS = 60_000
/** Ends that no blocked part explains, without which no second part of the same requests is blocked. */
const MIN_UNEXPLAINED_ENDS = 2
/** An answer that began this long before an end clears its parts too: the age of another host's record is known only roughly. */
const ANSWER_MARGIN_MS = 1_000
const RETENTION_MS = 600_000
const MAX_ENDS = 64
const MAX_REQUESTS_PER_END = 32
const MAX_FEATURES_PER_REQUEST = 16
/** Parts whose last answer is remembered, the most recent ones first. */
const MAX_REMEMBERED_FEATURES = 8_192

/** A part to be blocked, and the number of ends that count against it. */
export type BlockDecision = { featureId: string, ends: number }

type Candidate = {
  featureId: string
  /** The causes of ends that count against the part, each with the part's largest share in the suspect requests of an end. */
  shares: Map<number, number>
  /** Causes of ends at which no request had a blocked part. */
  unexplained: Set<number>
  firstEndMs: number
  /** Largest index of the part in a request. */
  position: number
}

export class CrashEvidence {
  readonly #ends = new Map<string, EndRecord>()
  /** Last answers of parts that occur in the records of ends. */
  readonly #cleared = new Map<string, number>()
  /** Last answers that this host received, in the order of their times. */
  readonly #answered = new Map<string, number>()

  private constructor () {}

  static create (): CrashEvidence {
    return new CrashEvidence()
  }

  /** Merges a record of an end; returns whether it holds anything new. */
  addEnd ({ process, endedMs, requests }: EndRecord): boolean {
    const known = this.#ends.get(process)
    const merged = mergeRequests(known?.requests ?? [], requests.filter((request) => request.length > 0))
    if (merged.length === (known?.requests.length ?? 0)) return false
    this.#ends.set(process, { process, endedMs: Math.min(endedMs, known?.endedMs ?? Infinity), requests: merged })
    for (const featureId of new Set(merged.flat())) this.#shareAnswer(featureId, this.#answered.get(featureId))
    if (this.#ends.size > MAX_ENDS) this.#dropOldest()
    return true
  }

  /** This host received the first part of an answer to a request with these parts. */
  onBegun (featureIds: readonly string[], nowMs: number): void {
    for (const featureId of featureIds) {
      this.#answered.delete(featureId)
      this.#answered.set(featureId, nowMs)
      this.#shareAnswer(featureId, nowMs)
    }
    for (const featureId of this.#answered.keys()) {
      if (this.#answered.size <= MAX_REMEMBERED_FEATURES) return
      this.#answered.delete(featureId)
    }
  }

  /** Merges another host's record of an answer. */
  addBegun ({ featureId, begunMs }: BegunRecord): void {
    this.#shareAnswer(featureId, begunMs)
  }

  /** Ends in whose records this part occurs, and that no later answer clears. */
  endsOf (featureId: string): EndRecord[] {
    return [...this.#ends.values()].filter((end) => this.#isSuspect(featureId, end) && end.requests.some((request) => request.includes(featureId)))
  }

  /** When an answer to a request with this part began last, as far as this host knows. */
  lastAnswerMs (featureId: string): number | undefined {
    const lastMs = Math.max(this.#cleared.get(featureId) ?? -Infinity, this.#answered.get(featureId) ?? -Infinity)
    return lastMs === -Infinity ? undefined : lastMs
  }

  /** The part that has to be blocked next; undefined if there is none. */
  nextBlock (isBlocked: (featureId: string) => boolean): BlockDecision | undefined {
    const likely = this.#candidates(isBlocked).filter((candidate) => this.#isLikelyCause(candidate)).sort(compareCandidates)[0]
    return likely && { featureId: likely.featureId, ends: likely.shares.size }
  }

  /** Records of ends, for other hosts; parts that an answer cleared are left out. */
  endRecords (): EndRecord[] {
    return [...this.#ends.values()]
  }

  begunRecords (): BegunRecord[] {
    return [...this.#cleared].map(([featureId, begunMs]) => ({ featureId, begunMs }))
  }

  sweep (nowMs: number): void {
    for (const { process, endedMs } of this.#ends.values()) {
      if (nowMs - endedMs > RETENTION_MS) this.#ends.delete(process)
    }
    const listed = new Set([...this.#ends.values()].flatMap(({ requests }) => requests.flat()))
    for (const featureId of this.#cleared.keys()) if (!listed.has(featureId)) this.#cleared.delete(featureId)
  }

  /** An answer is shared only if it clears a part of an end: parts in frequent use would otherwise change with each answer. */
  #shareAnswer (featureId: string, begunMs: number | undefined): void {
    if (begunMs === undefined || begunMs <= (this.#cleared.get(featureId) ?? -Infinity)) return
    const isNews = [...this.#ends.values()].some((end) => this.#isSuspect(featureId, end) && begunMs >= end.endedMs - ANSWER_MARGIN_MS && end.requests.some((request) => request.includes(featureId)))
    if (isNews) this.#cleared.set(featureId, begunMs)
  }

  #isSuspect (featureId: string, { endedMs }: EndRecord): boolean {
    const clearedMs = this.#cleared.get(featureId)
    return clearedMs === undefined || clearedMs < endedMs - ANSWER_MARGIN_MS
  }

  #candidates (isBlocked: (featureId: string) => boolean): Candidate[] {
    const candidates = new Map<string, Candidate>()
    for (const { end, cause } of groupByCause([...this.#ends.values()])) {
      const requests = end.requests.filter((request) => request.some((featureId) => this.#isSuspect(featureId, end)))
      const isExplained = requests.some((request) => request.some(isBlocked))
      for (const request of requests) {
        // A request beside one with a blocked part is no suspect. One that has the blocked part is: the wrong part may be blocked.
        if (isExplained && !request.some(isBlocked)) continue
        request.forEach((featureId, position) => {
          if (isBlocked(featureId) || !this.#isSuspect(featureId, end)) return
          const candidate = candidates.get(featureId) ?? { featureId, shares: new Map(), unexplained: new Set(), firstEndMs: end.endedMs, position }
          candidates.set(featureId, candidate)
          candidate.shares.set(cause, Math.max(candidate.shares.get(cause) ?? 0, 1 / requests.length))
          if (!isExplained) candidate.unexplained.add(cause)
          candidate.position = Math.max(candidate.position, position)
        })
      }
    }
    return [...candidates.values()]
  }

  #isLikelyCause ({ featureId, shares, unexplained, firstEndMs }: Candidate): boolean {
    if (unexplained.size < MIN_UNEXPLAINED_ENDS) return false
    const lastAnswerMs = this.lastAnswerMs(featureId)
    if (lastAnswerMs !== undefined && firstEndMs - lastAnswerMs < RECENT_ANSWER_MS) return shares.size >= SUFFICIENT_ENDS_AFTER_ANSWERS
    if (shares.size >= SUFFICIENT_ENDS) return true
    const shareSum = [...shares.values()].reduce((sum, share) => sum + share, 0)
    return shares.size >= MIN_ENDS && shareSum >= MIN_SHARE_SUM
  }

  #dropOldest (): void {
    const oldest = [...this.#ends.values()].reduce((a, b) => a.endedMs <= b.endedMs ? a : b)
    this.#ends.delete(oldest.process)
  }
}

/** The most ends first; of parts that always occur together, the last one, as earlier parts are shared by more requests. */
function compareCandidates (a: Candidate, b: Candidate): number {
  return b.unexplained.size - a.unexplained.size || b.position - a.position || (a.featureId < b.featureId ? -1 : 1)
}

/** Numbers the ends by cause, in the order of their times. */
function groupByCause (ends: EndRecord[]): { end: EndRecord, cause: number }[] {
  const ordered = ends.sort((a, b) => a.endedMs - b.endedMs)
  let cause = 0
  let startMs = -Infinity
  return ordered.map((end) => {
    if (end.endedMs - startMs >= SAME_CAUSE_MS) {
      cause += 1
      startMs = end.endedMs
    }
    return { end, cause }
  })
}

function mergeRequests (known: readonly (readonly string[])[], added: readonly (readonly string[])[]): (readonly string[])[] {
  const merged = new Map(known.map((request) => [request.join(','), request]))
  for (const request of added) {
    const bounded = request.slice(-MAX_FEATURES_PER_REQUEST)
    if (merged.size < MAX_REQUESTS_PER_END) merged.set(bounded.join(','), bounded)
  }
  return [...merged.values()]
}
