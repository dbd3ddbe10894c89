/** Exit codes of `figloom`, the same for every command. */
export const ExitCode = {
  Done: 0,
  /** Faults in tables or settings, or a name that does not exist. */
  Invalid: 1,
  Usage: 2,
  /** Rows of the edit changed since its base. */
  Conflict: 3,
  /** Nothing was published, or it is unknown and safe to repeat with the same edit id; or no daemon answered. */
  Unreachable: 4,
  /** Accepted, but not yet in force on every host. */
  NotInForce: 5
} as const
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode]
