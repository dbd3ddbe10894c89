/** Measures the bytes of buffers that a test's process keeps. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

const POLL_MS = 50
const MAX_WAIT_MS = 2_000

/** Bytes of buffers that are in use. */
export function bufferBytes (): number {
  setFlagsFromString('--expose-gc')
  runInNewContext('gc()')
  return process.memoryUsage().arrayBuffers
}

/** What is kept since then, as soon as it is below a limit, or after a time in which nothing that is kept is given up. */
export async function keptSince (before: number, limitBytes: number): Promise<number> {
  const endMs = performance.now() + MAX_WAIT_MS
  let kept = bufferBytes() - before
  while (kept >= limitBytes && performance.now() < endMs) {
    await new Promise((resolve) => setTimeout(resolve, POLL_MS))
    kept = bufferBytes() - before
  }
  return kept
}
