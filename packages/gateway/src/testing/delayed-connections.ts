/** Delays the connections of a fixture to its runners, so that requests wait for them. */
import { ok } from 'neverthrow'
import type { Dispatcher } from 'undici'
import type { GatewayFixture } from './gateway-fixture.js'

export async function waitUntil (isTrue: () => boolean): Promise<void> {
  while (!isTrue()) await new Promise((resolve) => setTimeout(resolve, 5))
}

/** Makes requests wait for connections until the returned function is called. */
export function holdConnections ({ context: { connections } }: GatewayFixture): () => void {
  const delayed: (() => void)[] = []
  let released = false
  const connect = connections.dispatcherFor.bind(connections)
  connections.dispatcherFor = (id, address) => {
    const dispatcher = connect(id, address)._unsafeUnwrap()
    const dispatch: Dispatcher['dispatch'] = (options, handler) => {
      if (released) return dispatcher.dispatch(options, handler)
      delayed.push(() => dispatcher.dispatch(options, handler))
      return true
    }
    return ok({ dispatch } as Dispatcher)
  }
  return () => {
    released = true
    for (const send of delayed) send()
  }
}
