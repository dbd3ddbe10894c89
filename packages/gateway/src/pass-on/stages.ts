/** The stages of a failure as hosts exchange them. */
import { PassOnStage } from '@figloom/protocol'
import { FailureStage } from '../forward/attempt.js'

const STAGES: Record<FailureStage, PassOnStage> = {
  [FailureStage.Connect]: PassOnStage.CONNECT,
  [FailureStage.Withdrawn]: PassOnStage.WITHDRAWN,
  [FailureStage.Sent]: PassOnStage.SENT,
  [FailureStage.Answer]: PassOnStage.ANSWER
}

export function toStageMessage (stage: FailureStage): PassOnStage {
  return STAGES[stage]
}

/** A stage that this release doesn't know counts as sent: the request may have run. */
export function fromStageMessage (stage: PassOnStage): FailureStage {
  const known = Object.values(FailureStage).find((candidate) => STAGES[candidate] === stage)
  return known ?? FailureStage.Sent
}
