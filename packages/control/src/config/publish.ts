/** Publishes an edit and waits until the follower has read it back from the log with a verdict. */
import { errAsync, ResultAsync, err, ok, type Result } from 'neverthrow'
import { createFailure, ResultCode, type Clock, type Failure } from '@figloom/runtime'
import type { LogClient } from '@figloom/clients'
import { CONFIG_STREAM, type ConfigFollower } from './config-follower.js'
import type { EditVerdict } from './types.js'

export type PublishOptions<State> = {
  log: LogClient
  clock: Clock
  follower: ConfigFollower<State>
  /** Id of the edit and of its record; a retry of the edit must use the same one. */
  editId: string
  body: unknown
  /** Longest wait for the verdict, in milliseconds. */
  timeoutMs: number
}

const RETRY_MS = 200

/**
 * Appends the edit until an append succeeds, always with the same id, and waits for the verdict.
 * Errors: `LogUnavailable`, with `ran` `no` if the edit was certainly not appended, else `unknown`. A retry with the same
 * id is safe.
 */
export function publishEdit<State> (options: PublishOptions<State>): ResultAsync<EditVerdict, Failure> {
  if (options.follower.current() === undefined) {
    return errAsync(createFailure(ResultCode.NotReady, 'this host has no configuration yet', { retryAfterMs: RETRY_MS }))
  }
  return new ResultAsync(publish(options))
}

async function publish<State> (options: PublishOptions<State>): Promise<Result<EditVerdict, Failure>> {
  const { log, clock, follower, editId, body, timeoutMs } = options
  const deadlineMs = clock.monotonicMs() + timeoutMs
  let appended = false
  let maybeAppended = false
  while (clock.monotonicMs() < deadlineMs) {
    const verdict = follower.verdictOf(editId)
    if (verdict !== undefined) return ok(verdict)
    if (!appended) {
      const result = await log.append(CONFIG_STREAM, editId, body)
      appended = result.isOk()
      maybeAppended ||= result.isOk() || result.error.ran !== 'no'
    }
    await waitForVerdict(options, Math.min(RETRY_MS, deadlineMs - clock.monotonicMs()))
  }
  const verdict = follower.verdictOf(editId)
  if (verdict !== undefined) return ok(verdict)
  const ran = maybeAppended ? 'unknown' : 'no'
  return err(createFailure(ResultCode.LogUnavailable, 'the verdict on the edit was not read back from the log in time', { ran }))
}

async function waitForVerdict<State> ({ clock, follower, editId }: PublishOptions<State>, delayMs: number): Promise<void> {
  if (follower.verdictOf(editId) !== undefined) return
  const abort = new AbortController()
  const unsubscribe = follower.onRecordRead(() => { if (follower.verdictOf(editId) !== undefined) abort.abort() })
  await clock.sleep(delayMs, abort.signal)
  unsubscribe()
}
