/**
 * Finds the prompt parts under which runners' processes end. A part that ends runners was present at each such end in a request
 * that had not begun, and no request with it ever begins. Records merge in any order and with repeats, so hosts that know the
 * same records decide the same. Pure state; times are milliseconds of a clock that also counts suspensions.
 */
import type { BegunRecord, EndRecord } from './types.js'

/** Ends of different processes within this time have one cause, such as a power failure, and count once. */
const SAME_CAUSE_MS = 150
/** Ends after which a part is blocked if it is the likely cause of them. */
const MIN_ENDS = 3
/** Sum over these ends of the part's share in the suspect prompts: a part that was one of many at each end is less likely the cause. */
const MIN_SHARE_SUM = 1.5
/** Ends after which a part is blocked in any case. */
const SUFFICIENT_ENDS = 5
/** The same if requests with the part began within `RECENT_ANSWER_MS` before them: other causes are more likely than a part that has changed. */
const SUFFICIENT_ENDS_AFTER_ANSWERS = 8
const RECENT_ANSWER_MS = 60_000
/** Ends that no blocked part explains, without which no second part of the same prompts is blocked. */
const MIN_UNEXPLAINED_ENDS = 2
/** An answer that began this long before an end clears its parts too: the age of another host's record is known only roughly. */
const ANSWER_MARGIN_MS = 1_000
const RETENTION_MS = 600_000
const MAX_ENDS = 64
const MAX_PROMPTS_PER_END = 32
const MAX_PARTS_PER_PROMPT = 16
/** Parts whose last answer is remembered, the most recent ones first. */
const MAX_REMEMBERED_PARTS = 8_192

/** A part to be blocked, and the number of ends that count against it. */
export type BlockDecision = { partId: string, ends: number }

type Candidate = {
  partId: string
  /** The causes of ends that count against the part, each with the part's largest share in the suspect prompts of an end. */
  shares: Map<number, number>
  /** Causes of ends at which no prompt had a blocked part. */
  unexplained: Set<number>
  firstEndMs: number
  /** Largest index of the part in a prompt. */
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
  addEnd ({ process, endedMs, prompts }: EndRecord): boolean {
    const known = this.#ends.get(process)
    const merged = mergePrompts(known?.prompts ?? [], prompts.filter((prompt) => prompt.length > 0))
    if (merged.length === (known?.prompts.length ?? 0)) return false
    this.#ends.set(process, { process, endedMs: Math.min(endedMs, known?.endedMs ?? Infinity), prompts: merged })
    for (const partId of new Set(merged.flat())) this.#shareAnswer(partId, this.#answered.get(partId))
    if (this.#ends.size > MAX_ENDS) this.#dropOldest()
    return true
  }

  /** This host received the first part of an answer to a prompt with these parts. */
  onBegun (partIds: readonly string[], nowMs: number): void {
    for (const partId of partIds) {
      this.#answered.delete(partId)
      this.#answered.set(partId, nowMs)
      this.#shareAnswer(partId, nowMs)
    }
    for (const partId of this.#answered.keys()) {
      if (this.#answered.size <= MAX_REMEMBERED_PARTS) return
      this.#answered.delete(partId)
    }
  }

  /** Merges another host's record of an answer. */
  addBegun ({ partId, begunMs }: BegunRecord): void {
    this.#shareAnswer(partId, begunMs)
  }

  /** Ends in whose records this part occurs, and that no later answer clears. */
  endsOf (partId: string): EndRecord[] {
    return [...this.#ends.values()].filter((end) => this.#isSuspect(partId, end) && end.prompts.some((prompt) => prompt.includes(partId)))
  }

  /** When an answer to a prompt with this part began last, as far as this host knows. */
  lastAnswerMs (partId: string): number | undefined {
    const lastMs = Math.max(this.#cleared.get(partId) ?? -Infinity, this.#answered.get(partId) ?? -Infinity)
    return lastMs === -Infinity ? undefined : lastMs
  }

  /** The part that has to be blocked next; undefined if there is none. */
  nextBlock (isBlocked: (partId: string) => boolean): BlockDecision | undefined {
    const likely = this.#candidates(isBlocked).filter((candidate) => this.#isLikelyCause(candidate)).sort(compareCandidates)[0]
    return likely && { partId: likely.partId, ends: likely.shares.size }
  }

  /** Records of ends, for other hosts; parts that an answer cleared are left out. */
  endRecords (): EndRecord[] {
    return [...this.#ends.values()]
  }

  begunRecords (): BegunRecord[] {
    return [...this.#cleared].map(([partId, begunMs]) => ({ partId, begunMs }))
  }

  sweep (nowMs: number): void {
    for (const { process, endedMs } of this.#ends.values()) {
      if (nowMs - endedMs > RETENTION_MS) this.#ends.delete(process)
    }
    const listed = new Set([...this.#ends.values()].flatMap(({ prompts }) => prompts.flat()))
    for (const partId of this.#cleared.keys()) if (!listed.has(partId)) this.#cleared.delete(partId)
  }

  /** An answer is shared only if it clears a part of an end: parts in frequent use would otherwise change with each answer. */
  #shareAnswer (partId: string, begunMs: number | undefined): void {
    if (begunMs === undefined || begunMs <= (this.#cleared.get(partId) ?? -Infinity)) return
    const isNews = [...this.#ends.values()].some((end) => this.#isSuspect(partId, end) && begunMs >= end.endedMs - ANSWER_MARGIN_MS && end.prompts.some((prompt) => prompt.includes(partId)))
    if (isNews) this.#cleared.set(partId, begunMs)
  }

  #isSuspect (partId: string, { endedMs }: EndRecord): boolean {
    const clearedMs = this.#cleared.get(partId)
    return clearedMs === undefined || clearedMs < endedMs - ANSWER_MARGIN_MS
  }

  #candidates (isBlocked: (partId: string) => boolean): Candidate[] {
    const candidates = new Map<string, Candidate>()
    for (const { end, cause } of groupByCause([...this.#ends.values()])) {
      const prompts = end.prompts.filter((prompt) => prompt.some((partId) => this.#isSuspect(partId, end)))
      const isExplained = prompts.some((prompt) => prompt.some(isBlocked))
      for (const prompt of prompts) {
        // A prompt beside one with a blocked part is no suspect. One that has the blocked part is: the wrong part may be blocked.
        if (isExplained && !prompt.some(isBlocked)) continue
        prompt.forEach((partId, position) => {
          if (isBlocked(partId) || !this.#isSuspect(partId, end)) return
          const candidate = candidates.get(partId) ?? { partId, shares: new Map(), unexplained: new Set(), firstEndMs: end.endedMs, position }
          candidates.set(partId, candidate)
          candidate.shares.set(cause, Math.max(candidate.shares.get(cause) ?? 0, 1 / prompts.length))
          if (!isExplained) candidate.unexplained.add(cause)
          candidate.position = Math.max(candidate.position, position)
        })
      }
    }
    return [...candidates.values()]
  }

  #isLikelyCause ({ partId, shares, unexplained, firstEndMs }: Candidate): boolean {
    if (unexplained.size < MIN_UNEXPLAINED_ENDS) return false
    const lastAnswerMs = this.lastAnswerMs(partId)
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
  return b.unexplained.size - a.unexplained.size || b.position - a.position || (a.partId < b.partId ? -1 : 1)
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

function mergePrompts (known: readonly (readonly string[])[], added: readonly (readonly string[])[]): (readonly string[])[] {
  const merged = new Map(known.map((prompt) => [prompt.join(','), prompt]))
  for (const prompt of added) {
    const bounded = prompt.slice(-MAX_PARTS_PER_PROMPT)
    if (merged.size < MAX_PROMPTS_PER_END) merged.set(bounded.join(','), bounded)
  }
  return [...merged.values()]
}
