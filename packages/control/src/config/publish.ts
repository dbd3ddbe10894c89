/** Publishes one edit and waits for its verdict, which the follower reads back from the log. */
import { errAsync, ResultAsync, err, ok, type Result } from 'neverthrow'
import { createFailure, ResultCode, type Clock, type Failure } from '@figloom/runtime'
import type { LogClient } from '@figloom/clients'
import { CONFIG_STREAM, type ConfigFollower } from './config-follower.js'
import type { JudgedEdit } from './types.js'

export type PublishOptions<State> = {
  log: LogClient
  clock: Clock
  follower: ConfigFollower<State>
  /** Same for each repeat of the same edit; also the id of its record. */
  editId: string
  body: unknown
  /** Longest wait for the verdict, in milliseconds. */
  timeoutMs: number
}

const RETRY_MS = 200

/**
 * Appends the edit, again under the same id while its fate is unknown, until the verdict was read back.
 * Errors: `LogUnavailable` with `ran` `no` when nothing was ever sent, else `unknown`: safe to repeat under the same id.
 */
export function publishEdit<State> (options: PublishOptions<State>): ResultAsync<JudgedEdit, Failure> {
  if (options.follower.current() === undefined) {
    return errAsync(createFailure(ResultCode.NotReady, 'this host follows no configuration yet', { retryAfterMs: RETRY_MS }))
  }
  return new ResultAsync(publish(options))
}

async function publish<State> (options: PublishOptions<State>): Promise<Result<JudgedEdit, Failure>> {
  const { log, clock, follower, editId, body, timeoutMs } = options
  const deadlineMs = clock.monotonicMs() + timeoutMs
  let appended = false
  let uncertain = false
  while (clock.monotonicMs() < deadlineMs) {
    const judged = follower.verdictOf(editId)
    if (judged !== undefined) return ok(judged)
    if (!appended) {
      const result = await log.append(CONFIG_STREAM, editId, body)
      appended = result.isOk()
      uncertain ||= result.isOk() || result.error.ran !== 'no'
    }
    await verdictOrDelay(options, Math.min(RETRY_MS, deadlineMs - clock.monotonicMs()))
  }
  const judged = follower.verdictOf(editId)
  if (judged !== undefined) return ok(judged)
  const ran = uncertain ? 'unknown' : 'no'
  return err(createFailure(ResultCode.LogUnavailable, 'the verdict on the edit was not read back', { ran }))
}

async function verdictOrDelay<State> ({ clock, follower, editId }: PublishOptions<State>, delayMs: number): Promise<void> {
  if (follower.verdictOf(editId) !== undefined) return
  const abort = new AbortController()
  const release = follower.onRead(() => { if (follower.verdictOf(editId) !== undefined) abort.abort() })
  await clock.sleep(delayMs, abort.signal)
  release()
}
