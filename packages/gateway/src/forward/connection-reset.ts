/** Tells connections that were reset from those that ended in order. */
import type { Socket } from 'node:net'

/** Error code that replaces ECONNRESET on connections to runners. */
const RESET_CODE = 'RUNNER_RESET'

/**
 * Makes the error of a reset distinguishable. The HTTP client treats an answer without a length as complete when its connection
 * fails with ECONNRESET; with any other code it reports a failure.
 */
export function markResets (socket: Socket): void {
  socket.prependListener('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'ECONNRESET') error.code = RESET_CODE
  })
}

/**
 * Whether a connection whose end has just been read was reset. A reset that arrives together with the last bytes is reported as
 * an end and not as an error, but the connection has no peer from then on. One that ended in order keeps it until it is closed here.
 */
export function wasReset (socket: Socket): boolean {
  return socket.remoteAddress === undefined
}

export function createResetError (): Error {
  return Object.assign(new Error('the connection was reset before the end of the answer'), { code: RESET_CODE })
}
