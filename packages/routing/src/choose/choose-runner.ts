/** Choice of the runner for one request among the runners that hold its model. */
import type { RandomSource, RouteRequest } from '../types.js'

/** A runner that could take the request, with what is known of it now. */
export type Candidate = {
  runner: string
  availabilityZone: string
  /** Model and adapter are resident. */
  resident: boolean
  /** Not ejected. */
  healthy: boolean
  draining: boolean
  /** Requests at the runner: reported by the engine, corrected by what was sent since. */
  load: number
  /** Requests at the runner that the limit allows. */
  limit: number
  /** Requests at the runner for the same model, and their limit. */
  copyLoad: number
  copyLimit: number
  /** Prompt tokens at the runner that wait for their first token. */
  pendingTokens: number
  /** Processing time of one prompt token. */
  prefillMsPerToken: number
  /** Time between tokens at the present load. */
  stepMs: number
  /** Network time to the runner and back. */
  roundTripMs: number
  /** Prompt tokens that the runner's prefix cache should hold. */
  cachedTokens: number
}

/** The runner chosen and the time at which its first token is expected. */
export type Choice = { candidate: Candidate, expectedFirstTokenMs: number }

/** Expected scores within this part of the best count as equal. */
const TIE_SHARE = 0.1
/** Floor of the tie margin in milliseconds. */
const TIE_MS = 2
/** Weight of the time between tokens in the score, in tokens. */
const STEP_WEIGHT_TOKENS = 8

/** Time until the first token if the request goes to the candidate now. */
export function expectFirstTokenMs (candidate: Candidate, request: RouteRequest): number {
  const ownTokens = Math.max(0, request.promptTokens - candidate.cachedTokens)
  return candidate.roundTripMs + candidate.stepMs + (candidate.pendingTokens + ownTokens) * candidate.prefillMsPerToken
}

/** Whether a new request may be sent to the candidate at all. */
export function isEligible (candidate: Candidate): boolean {
  return candidate.resident && candidate.healthy && !candidate.draining
}

/** Whether the limits of the runner and of its copy allow one more request. */
export function hasRoom (candidate: Candidate): boolean {
  return candidate.load < candidate.limit && candidate.copyLoad < candidate.copyLimit
}

/** Chooses a runner; undefined if none is eligible and under its limit. */
export abstract class RunnerChooser {
  abstract choose (candidates: readonly Candidate[], request: RouteRequest, random: RandomSource): Choice | undefined
}

/**
 * Least expected completion. A cached prefix counts by the prompt time that it saves, so affinity ends where the
 * queue costs more than the cache saves. Near-equal candidates are drawn at random, so that hosts that share stale
 * figures do not all pick the same one.
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
  if (!isEligible(candidate) || !hasRoom(candidate)) return Infinity
  return expectFirstTokenMs(candidate, request) + STEP_WEIGHT_TOKENS * candidate.stepMs
}

/** Index of a random score that is at most `bound`. */
function drawWithin (scores: readonly number[], bound: number, random: RandomSource): number {
  let seen = 0
  let chosen = -1
  for (let index = 0; index < scores.length; index++) {
    if ((scores[index] ?? Infinity) > bound) continue
    seen += 1
    if (random() * seen < 1) chosen = index
  }
  return chosen
}

/** Chooses with the default policy. */
export function chooseRunner (candidates: readonly Candidate[], request: RouteRequest, random: RandomSource): Choice | undefined {
  return DEFAULT_CHOOSER.choose(candidates, request, random)
}

const DEFAULT_CHOOSER = LeastExpectedChooser.create()
