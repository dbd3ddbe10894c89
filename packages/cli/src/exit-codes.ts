/** Exit codes of `figloom`, the same for every command. */
export const ExitCode = {
  Done: 0,
  /** Invalid tables or settings, or a name that does not exist. */
  Invalid: 1,
  Usage: 2,
  /** Rows of the edit have changed since the offset it is based on. */
  Conflict: 3,
  /** The log or every daemon failed. An edit was not published, or may have been and can be retried safely under the same edit id. */
  Unreachable: 4,
  /** Accepted, but not yet in force on every host. */
  NotInForce: 5
} as const
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode]
