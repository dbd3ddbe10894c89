/** Chooses the runner for a request among the runners that hold its model. */
import type { RandomSource, RouteRequest } from '../types.js'

/** A runner that could take the request, with its current state as far as this host knows it. */
export type Candidate = {
  runner: string
  availabilityZone: string
  /** Whether the request's model and adapter are loaded. */
  resident: boolean
  /** Whether the runner accepts new requests, that is, is not ejected after failures. */
  healthy: boolean
  draining: boolean
  /** Requests at the runner: this host's own, and an estimate of those of other hosts. */
  load: number
  /** Maximum number of concurrent requests at the runner. */
  limit: number
  /** Requests at the runner for the same model, and the maximum number of them. */
  copyLoad: number
  copyLimit: number
  /** Prompt tokens of requests at the runner that have not produced a first token yet. */
  pendingTokens: number
  /** Time to process one prompt token. */
  prefillMsPerToken: number
  /** Time between output tokens at the current load. */
  stepMs: number
  /** Network round-trip time to the runner. */
  roundTripMs: number
  /** Prompt tokens that the runner's prefix cache is expected to hold. */
  cachedTokens: number
}

/** The chosen runner and the time until its first token is expected. */
export type Choice = { candidate: Candidate, expectedFirstTokenMs: number }

/** Scores that exceed the best by at most this fraction count as equal. */
const TIE_SHARE = 0.1
/** Minimum tie margin, in milliseconds. */
const TIE_MS = 2
/** Number of output tokens whose time counts in the score. */
const STEP_WEIGHT_TOKENS = 8

/** Expected time until the first token if the request is sent to the candidate now. */
export function expectFirstTokenMs (candidate: Candidate, request: RouteRequest): number {
  const ownTokens = Math.max(0, request.promptTokens - candidate.cachedTokens)
  return candidate.roundTripMs + candidate.stepMs + (candidate.pendingTokens + ownTokens) * candidate.prefillMsPerToken
}

/** Whether a new request may be sent to the candidate at all. */
export function isEligible (candidate: Candidate): boolean {
  return candidate.resident && candidate.healthy && !candidate.draining
}

/** Whether the limits of the runner and of its copy allow one more request. */
export function hasCapacity (candidate: Candidate): boolean {
  return candidate.load < candidate.limit && candidate.copyLoad < candidate.copyLimit
}

/** Chooses a runner; undefined if none is eligible and under its limit. */
export abstract class RunnerChooser {
  abstract choose (candidates: readonly Candidate[], request: RouteRequest, random: RandomSource): Choice | undefined
}

/**
 * Chooses the runner with the lowest expected time. A cached prefix counts as the prompt processing time that it
 * saves, so a runner keeps its affinity only while its queue costs less than its cache saves. The choice among
 * nearly equal candidates is random, so that hosts with the same stale load data do not all pick the same runner.
 */
export class LeastExpectedChooser extends RunnerChooser {
  static create (): LeastExpectedChooser {
    return new LeastExpectedChooser()
  }

  override choose (candidates: readonly Candidate[], request: RouteRequest, random: RandomSource): Choice | undefined {
    const scores = candidates.map((candidate) => scoreOf(candidate, request))
    const best = scores.reduce((low, score) => Math.min(low, score), Infinity)
    if (best === Infinity) return undefined
    const bound = best + Math.max(TIE_MS, best * TIE_SHARE)
    const chosen = drawWithin(scores, bound, random)
    const candidate = candidates[chosen]
    if (candidate === undefined) return undefined
    return { candidate, expectedFirstTokenMs: expectFirstTokenMs(candidate, request) }
  }
}

function scoreOf (candidate: Candidate, request: RouteRequest): number {
  if (!isEligible(candidate) || !hasCapacity(candidate)) return Infinity
  return expectFirstTokenMs(candidate, request) + STEP_WEIGHT_TOKENS * candidate.stepMs
}

/** Index of a random one among the scores that are at most `bound`. */
function drawWithin (scores: readonly number[], bound: number, random: RandomSource): number {
  let candidateCount = 0
  let chosen = -1
  for (let index = 0; index < scores.length; index++) {
    if ((scores[index] ?? Infinity) > bound) continue
    candidateCount += 1
    if (random() * candidateCount < 1) chosen = index
  }
  return chosen
}

/** Chooses with the default policy. */
export function chooseRunner (candidates: readonly Candidate[], request: RouteRequest, random: RandomSource): Choice | undefined {
  return DEFAULT_CHOOSER.choose(candidates, request, random)
}

const DEFAULT_CHOOSER = LeastExpectedChooser.create()
