/** Why a host doesn't pass a request on, or gives it up. Sent as the reason of a failure; hosts recognize the texts, so they stay letter for letter. */
export const RefusalReason = {
  Stopping: 'the host is stopping',
  CutOff: 'the host does not reach the runner',
  Full: 'the host passes on too many requests',
  NotListed: 'the host lists no such runner at this address',
  Closed: 'the runner is closed to requests',
  TooLarge: 'the body is too large to pass on',
  /** At the host that asks; where the host that is asked has no memory left, it says that it passes on too many requests, which all releases know. */
  NoMemory: 'no memory is left to send the body to another host',
  Late: 'no time is left for the request',
  Overdue: 'the host that asked has not ended the request in its time',
  Malformed: 'the request can not be sent'
} as const
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason]

const REASONS_OF_THE_HOST: readonly string[] = [RefusalReason.Stopping, RefusalReason.CutOff, RefusalReason.Full, RefusalReason.Overdue]

/** Whether the reason is at the host and says nothing about the runner: another host could pass the request on. */
export function isReasonOfHost (reason: string): boolean {
  return REASONS_OF_THE_HOST.includes(reason)
}
