/** Answers a claim from the claim state alone. */
import type { ClaimState } from './claim-state.js'
import { KeyState } from './key-table.js'
import { TakenReason, type ClaimAnswer, type ClaimRequest, type IsLive } from './types.js'

/** Returns the answer for a key that is held; undefined if the key may be claimed. */
export function decideClaim (state: ClaimState, request: ClaimRequest, isLive: IsLive): ClaimAnswer | undefined {
  const keyState = state.stateOf(request.key)
  if (keyState === undefined) return undefined
  if (state.isHeldBy(request.key, request.attemptId)) return { kind: 'won' }
  if (!state.hasFingerprint(request.key, request.fingerprint)) return { kind: 'taken', reason: TakenReason.Reused }
  const answer = state.answers.get(request.key)
  if (keyState === KeyState.Settled && answer !== undefined) return { kind: 'replay', answer }
  const holder = state.holders.get(request.key)
  const inProgress = keyState === KeyState.Open && holder !== undefined && isLive(holder.host, holder.incarnation)
  return { kind: 'taken', reason: inProgress ? TakenReason.InProgress : TakenReason.OutcomeUnknown }
}
