/** A result code with its HTTP status and texts; docs/ERRORS.md is generated from this table. */
export type ResultCodeInfo = {
  readonly code: number
  readonly type: string
  readonly httpStatus: number
  /** Whether the request ran, if nothing more specific is known where the error arises. */
  readonly ran: Ran
  readonly meaning: string
  /** What the caller or operator should do. */
  readonly action: string
}

/** Whether a refused or failed request ran: `no` is guaranteed, `unknown` means that it may have run. */
export const Ran = { No: 'no', Unknown: 'unknown' } as const
export type Ran = (typeof Ran)[keyof typeof Ran]

/**
 * Result codes by group. 1xxx: invalid request; 2xxx: refused, not run; 3xxx: backend servers; 4xxx: non-idempotent
 * calls; 5xxx: configuration and operators; 6xxx: platform and control; 7xxx: why a process ended, in its last log line; 9xxx: internal errors.
 */
export const ResultCode = {
  MalformedRequest: { code: 1001, type: 'malformed_request', httpStatus: 400, ran: 'no', meaning: 'The request cannot be parsed or lacks a field.', action: 'Correct the request.' },
  NoSuchRoute: { code: 1002, type: 'no_such_route', httpStatus: 404, ran: 'no', meaning: 'No route has this name.', action: 'Check the name against GET /v1/models.' },
  NotFound: { code: 1003, type: 'not_found', httpStatus: 404, ran: 'no', meaning: 'No such path.', action: 'Check the path.' },
  BodyTooLarge: { code: 1004, type: 'body_too_large', httpStatus: 413, ran: 'no', meaning: 'The body exceeds the limit.', action: 'Send a smaller body.' },
  HeadersTooLarge: { code: 1005, type: 'headers_too_large', httpStatus: 431, ran: 'no', meaning: 'The headers exceed the limit.', action: 'Send smaller headers.' },
  MethodNotAllowed: { code: 1006, type: 'method_not_allowed', httpStatus: 405, ran: 'no', meaning: 'The path does not take this method.', action: 'Use the documented method.' },
  BodyTooSlow: { code: 1007, type: 'body_too_slow', httpStatus: 408, ran: 'no', meaning: 'The body was not received within the time of the request.', action: 'Retry the request.' },
  UnknownKey: { code: 1008, type: 'unknown_key', httpStatus: 401, ran: 'no', meaning: 'The route needs a key, and the request shows none, or one that no customer holds.', action: 'Send a key that the operator has not removed.' },
  NotReady: { code: 2001, type: 'not_ready', httpStatus: 503, ran: 'no', meaning: 'The host has no configuration in force yet.', action: 'Use another host from the last lookup.' },
  Draining: { code: 2002, type: 'draining', httpStatus: 503, ran: 'no', meaning: 'The host is shutting down and takes no new request.', action: 'Look up again and use another host.' },
  NoRunner: { code: 2003, type: 'no_runner', httpStatus: 503, ran: 'no', meaning: 'No live runner has the model resident.', action: 'Try again after retryAfterMs.' },
  Overloaded: { code: 2004, type: 'overloaded', httpStatus: 503, ran: 'no', meaning: 'The request cannot be answered within its deadline at the present load.', action: 'Try again after retryAfterMs.' },
  RateLimited: { code: 2005, type: 'rate_limited', httpStatus: 429, ran: 'no', meaning: 'The route is over its share or the host is over a limit.', action: 'Try again after retryAfterMs.' },
  DeadlinePassed: { code: 2006, type: 'deadline_passed', httpStatus: 504, ran: 'no', meaning: 'The deadline passed before the request was sent to a backend server.', action: 'Retry with a longer deadline.' },
  Canceled: { code: 2007, type: 'canceled', httpStatus: 499, ran: 'unknown', meaning: 'The caller disconnected before the answer was complete.', action: 'None; the caller has disconnected.' },
  PromptBlocked: { code: 2008, type: 'prompt_blocked', httpStatus: 503, ran: 'no', meaning: 'Several backend servers ended under requests with a part of this prompt, so requests with it are not run.', action: 'Do not retry with the same prompt; ask the operator if the block is wrong.' },
  RequestBlocked: { code: 2009, type: 'request_blocked', httpStatus: 503, ran: 'no', meaning: 'Several backend servers ended under this request, which came before with the same method, path and body, so it is not run.', action: 'Do not retry the same request; ask the operator if the block is wrong.' },
  StreamNotContinuable: { code: 2010, type: 'stream_not_continuable', httpStatus: 503, ran: 'no', meaning: 'It is not known at which version of the backend servers\' software the stream began, or no server of that version is left; what two versions write does not fit together.', action: 'Start the request again from its beginning.' },
  OutOfMemory: { code: 2011, type: 'out_of_memory', httpStatus: 503, ran: 'no', meaning: 'The host has no memory left for the body of the request.', action: 'Try again after retryAfterMs.' },
  KeyNotKnownYet: { code: 2015, type: 'key_not_known_yet', httpStatus: 503, ran: 'no', meaning: 'The key of the request is unknown to this host, which may have missed a newer configuration that holds it.', action: 'Try again after retryAfterMs, at another host if possible.' },
  BackendFailed: { code: 3001, type: 'backend_failed', httpStatus: 502, ran: 'unknown', meaning: 'The backend server failed before the answer was complete.', action: 'Retry only if the request may run twice.' },
  BackendUnreachable: { code: 3002, type: 'backend_unreachable', httpStatus: 503, ran: 'no', meaning: 'No connection to a backend server was made; no byte was sent.', action: 'Try again after retryAfterMs.' },
  BackendTimeout: { code: 3003, type: 'backend_timeout', httpStatus: 504, ran: 'unknown', meaning: 'The deadline passed while the backend server was processing the request.', action: 'Retry only if the request may run twice.' },
  AnswerIncomplete: { code: 3004, type: 'answer_incomplete', httpStatus: 502, ran: 'unknown', meaning: 'The answer was interrupted and could not be resumed.', action: 'Discard the part received and retry the request.' },
  ForwardFailed: { code: 3005, type: 'forward_failed', httpStatus: 502, ran: 'unknown', meaning: 'The host that the request was forwarded to failed.', action: 'Retry only if the request may run twice.' },
  AnswerTooLarge: { code: 3006, type: 'answer_too_large', httpStatus: 502, ran: 'unknown', meaning: 'The backend server sent more bytes than a valid answer has, or than this host has memory left for.', action: 'Retry only if the request may run twice; check the backend server.' },
  KeyRequired: { code: 4001, type: 'key_required', httpStatus: 400, ran: 'no', meaning: 'A non-idempotent call lacks Idempotency-Key.', action: 'Send a key that is unique to each new request.' },
  KeyReused: { code: 4002, type: 'key_reused', httpStatus: 409, ran: 'no', meaning: 'The key was used with another request.', action: 'Use a new key for a new request.' },
  OutcomeUnknown: { code: 4003, type: 'outcome_unknown', httpStatus: 409, ran: 'unknown', meaning: 'An earlier call with this key may have run; its answer is not kept.', action: 'Check with the service itself whether it ran.' },
  ClaimUnavailable: { code: 4004, type: 'claim_unavailable', httpStatus: 503, ran: 'no', meaning: 'The key cannot be claimed because the log is unreachable.', action: 'Try again after retryAfterMs with the same key.' },
  KeyInProgress: { code: 4005, type: 'key_in_progress', httpStatus: 409, ran: 'unknown', meaning: 'A call with this key is still running.', action: 'Retry with the same key after retryAfterMs.' },
  InvalidTables: { code: 5001, type: 'invalid_tables', httpStatus: 400, ran: 'no', meaning: 'The tables have errors; each is given with file, line and key.', action: 'Correct the tables.' },
  Conflict: { code: 5002, type: 'conflict', httpStatus: 409, ran: 'no', meaning: 'Rows of the edit changed since its base.', action: 'Compare with the rows in force and publish again.' },
  InvalidSettings: { code: 5003, type: 'invalid_settings', httpStatus: 400, ran: 'no', meaning: 'The settings have errors; each is given with file, line and key.', action: 'Correct the settings.' },
  NotInForce: { code: 5004, type: 'not_in_force', httpStatus: 409, ran: 'unknown', meaning: 'An accepted version is not yet in force on every host.', action: 'Wait, then run figloom status again.' },
  LogUnavailable: { code: 6001, type: 'log_unavailable', httpStatus: 503, ran: 'unknown', meaning: 'The log service did not answer; an append may have taken effect.', action: 'Retry with the same record id.' },
  LogTruncated: { code: 6002, type: 'log_truncated', httpStatus: 410, ran: 'no', meaning: 'The log no longer contains the requested offset.', action: 'Start from a snapshot.' },
  LogRejected: { code: 6003, type: 'log_rejected', httpStatus: 429, ran: 'no', meaning: 'The log service refused the append; it took no effect.', action: 'Append again later.' },
  PlatformUnavailable: { code: 6004, type: 'platform_unavailable', httpStatus: 503, ran: 'unknown', meaning: 'A platform service or engine did not answer.', action: 'Try again later.' },
  OrderRefused: { code: 6005, type: 'order_refused', httpStatus: 409, ran: 'no', meaning: 'The engine refused an order.', action: 'None; control makes a new plan.' },
  PeerVersion: { code: 6006, type: 'peer_version', httpStatus: 400, ran: 'no', meaning: 'A peer uses a version of the internal protocol that is not supported.', action: 'Finish the upgrade of the older hosts.' },
  StoppedBySignal: { code: 7001, type: 'stopped_by_signal', httpStatus: 503, ran: 'unknown', meaning: 'A signal asked the process to stop.', action: 'None.' },
  ListenFailed: { code: 7002, type: 'listen_failed', httpStatus: 503, ran: 'no', meaning: 'A listener could not be opened, so the process did not start.', action: 'Look for the process that holds the address, or correct the address in the settings.' },
  StartFailed: { code: 7003, type: 'start_failed', httpStatus: 503, ran: 'no', meaning: 'The process did not start, by an unexpected error.', action: 'Report it with the log.' },
  TooManyErrors: { code: 7004, type: 'too_many_errors', httpStatus: 503, ran: 'unknown', meaning: 'The process stopped because of unexpected errors.', action: 'Report it with the log.' },
  StopFailed: { code: 7005, type: 'stop_failed', httpStatus: 503, ran: 'unknown', meaning: 'An unexpected error ended the stop of the process early.', action: 'Report it with the log.' },
  Internal: { code: 9001, type: 'internal', httpStatus: 500, ran: 'unknown', meaning: 'An internal error in figloom.', action: 'Report it with the request id.' }
} as const satisfies Record<string, ResultCodeInfo>
export type ResultCode = (typeof ResultCode)[keyof typeof ResultCode]
