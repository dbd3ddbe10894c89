/** Finds a moment at which all that the kernel has received for a listener has also been read. */
import { afterNextPoll } from './caller-check.js'

/**
 * Resolves in the phase of the event loop right after a poll that brought nothing, or once `isOver`.
 * @param received total of what has been received, which each arrival raises
 */
export async function untilQuietPoll (received: () => number, isOver: () => boolean): Promise<void> {
  let before: number
  do {
    before = received()
    await new Promise<void>((resolve) => afterNextPoll(resolve))
  } while (received() !== before && !isOver())
}
