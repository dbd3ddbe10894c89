/** Calls daemons over the inner protocol, which hosts also use among themselves. */
import { Code, ConnectError } from '@connectrpc/connect'
import { err, ok, ResultAsync, type Result } from 'neverthrow'
import { PROTOCOL_VERSION, type StatusResponse } from '@figloom/protocol'
import { createFailure, ResultCode, type Failure } from '@figloom/runtime'
import type { ClientSettings } from '@figloom/settings'
import type { DaemonClient, Environment } from '../environment.js'

type CallOptions = { timeoutMs: number, signal: AbortSignal }

/** Calls the configured daemons one after another until one answers. */
export function callAnyDaemon<T> (
  environment: Environment,
  settings: ClientSettings['daemon'],
  call: (daemon: DaemonClient, options: CallOptions) => Promise<T>
): ResultAsync<T, Failure> {
  return new ResultAsync(callInOrder(environment, settings, call))
}

/** Fetches the status of the cluster as reported by one daemon. */
export function fetchStatus (environment: Environment, settings: ClientSettings['daemon']): ResultAsync<StatusResponse, Failure> {
  const request = { protocolVersion: PROTOCOL_VERSION }
  return callAnyDaemon(environment, settings, (daemon, options) => daemon.getStatus(request, options))
}

async function callInOrder<T> (
  environment: Environment,
  { operatorUrls, timeoutMs }: ClientSettings['daemon'],
  call: (daemon: DaemonClient, options: CallOptions) => Promise<T>
): Promise<Result<T, Failure>> {
  const reasons: string[] = []
  for (const url of operatorUrls) {
    const called = call(environment.createDaemonClient(url), { timeoutMs, signal: environment.signal })
    const answer = await ResultAsync.fromPromise(called, ConnectError.from)
    if (answer.isOk()) return ok(answer.value)
    reasons.push(`${url}: ${answer.error.message}`)
    if (isFinal(answer.error)) break
  }
  return err(createFailure(ResultCode.PlatformUnavailable, `no daemon answered: ${reasons.join('; ')}`))
}

/** Errors after which no other daemon is called: the call was canceled, or the daemon refused it. */
function isFinal (error: ConnectError): boolean {
  return error.code === Code.Canceled || error.code === Code.FailedPrecondition
}
