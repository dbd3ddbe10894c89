/** Answers a claim from the fold alone. */
import type { ClaimState } from './claim-state.js'
import { KeyState } from './key-table.js'
import { TakenReason, type ClaimAnswer, type ClaimRequest, type IsLive } from './types.js'

/** Answer for a key that is held; undefined when it may be claimed. */
export function judgeRequest (state: ClaimState, request: ClaimRequest, isLive: IsLive): ClaimAnswer | undefined {
  const keyState = state.stateOf(request.key)
  if (keyState === undefined) return undefined
  if (state.isHeldBy(request.key, request.attemptId)) return { kind: 'won' }
  if (!state.hasFingerprint(request.key, request.fingerprint)) return { kind: 'taken', reason: TakenReason.Reused }
  const answer = state.answers.get(request.key)
  if (keyState === KeyState.Settled && answer !== undefined) return { kind: 'replay', answer }
  const holder = state.holders.get(request.key)
  const underWay = keyState === KeyState.Open && holder !== undefined && isLive(holder.host, holder.incarnation)
  return { kind: 'taken', reason: underWay ? TakenReason.InProgress : TakenReason.OutcomeUnknown }
}
