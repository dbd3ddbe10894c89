/** Failures as parts of an answer, and the whole answer to a request that is not passed on. */
import { create } from '@bufbuild/protobuf'
import { PassOnPartSchema, type PassOnPart } from '@figloom/protocol'
import { FailureStage } from '../forward/attempt.js'
import type { RefusalReason } from './refusal-reason.js'
import { toStageMessage } from './stages.js'

export function failurePart (stage: FailureStage, reason: string): PassOnPart {
  return create(PassOnPartSchema, { part: { case: 'failure', value: { stage: toStageMessage(stage), reason } } })
}

/** Nothing of the request was sent to its runner. */
export async function * refusal (reason: RefusalReason): AsyncGenerator<PassOnPart> {
  yield failurePart(FailureStage.Withdrawn, reason)
}
