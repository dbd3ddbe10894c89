/** Calls of daemons over the inner protocol. */
import { Code, ConnectError } from '@connectrpc/connect'
import { err, ok, ResultAsync, type Result } from 'neverthrow'
import { PROTOCOL_VERSION, type StatusResponse } from '@figloom/protocol'
import { createFailure, ResultCode, type Failure } from '@figloom/runtime'
import type { ClientSettings } from '@figloom/settings'
import type { DaemonClient, Environment } from '../environment.js'

type CallOptions = { timeoutMs: number, signal: AbortSignal }

/** Asks the daemons in turn until one answers. */
export function askDaemon<T> (
  environment: Environment,
  settings: ClientSettings['daemon'],
  call: (daemon: DaemonClient, options: CallOptions) => Promise<T>
): ResultAsync<T, Failure> {
  return new ResultAsync(askInTurn(environment, settings, call))
}

/** Asks for the status as one daemon sees it. */
export function askStatus (environment: Environment, settings: ClientSettings['daemon']): ResultAsync<StatusResponse, Failure> {
  const request = { protocolVersion: PROTOCOL_VERSION }
  return askDaemon(environment, settings, (daemon, options) => daemon.getStatus(request, options))
}

async function askInTurn<T> (
  environment: Environment,
  { operatorUrls, timeoutMs }: ClientSettings['daemon'],
  call: (daemon: DaemonClient, options: CallOptions) => Promise<T>
): Promise<Result<T, Failure>> {
  const reasons: string[] = []
  for (const url of operatorUrls) {
    const called = call(environment.createDaemon(url), { timeoutMs, signal: environment.signal })
    const answer = await ResultAsync.fromPromise(called, ConnectError.from)
    if (answer.isOk()) return ok(answer.value)
    reasons.push(`${url}: ${answer.error.message}`)
    if (isFinal(answer.error)) break
  }
  return err(createFailure(ResultCode.PlatformUnavailable, `no daemon answered: ${reasons.join('; ')}`))
}

/** Answers after which another daemon must not be asked. */
function isFinal (error: ConnectError): boolean {
  return error.code === Code.Canceled || error.code === Code.FailedPrecondition
}
