/** Converts the result of a check of a runner's address to and from the protocol between hosts. */
import { RunnerCheck as RunnerCheckMessage } from '@figloom/protocol'
import { RunnerCheck } from '../crashes/types.js'

const MESSAGES: Record<RunnerCheck, RunnerCheckMessage> = {
  [RunnerCheck.Unknown]: RunnerCheckMessage.UNKNOWN,
  [RunnerCheck.Accepted]: RunnerCheckMessage.ACCEPTED,
  [RunnerCheck.Refused]: RunnerCheckMessage.REFUSED,
  [RunnerCheck.Silent]: RunnerCheckMessage.SILENT
}

export function toCheckMessage (check: RunnerCheck): RunnerCheckMessage {
  return MESSAGES[check]
}

/** A value of a later release says nothing to this one. */
export function toCheck (message: RunnerCheckMessage): RunnerCheck {
  return Object.values(RunnerCheck).find((check) => MESSAGES[check] === message) ?? RunnerCheck.Unknown
}
