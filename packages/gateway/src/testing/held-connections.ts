/** Keeps requests of a fixture waiting for their connections. */
import { ok } from 'neverthrow'
import type { Dispatcher } from 'undici'
import type { GatewayFixture } from './gateway-fixture.js'

export async function until (isTrue: () => boolean): Promise<void> {
  while (!isTrue()) await new Promise((resolve) => setTimeout(resolve, 5))
}

/** Requests wait for connections until the returned function is called. */
export function holdConnections ({ context: { connections } }: GatewayFixture): () => void {
  const waiting: (() => void)[] = []
  let open = false
  const connect = connections.to.bind(connections)
  connections.to = (id, address) => {
    const dispatcher = connect(id, address)._unsafeUnwrap()
    const dispatch: Dispatcher['dispatch'] = (options, handler) => {
      if (open) return dispatcher.dispatch(options, handler)
      waiting.push(() => dispatcher.dispatch(options, handler))
      return true
    }
    return ok({ dispatch } as Dispatcher)
  }
  return () => {
    open = true
    for (const send of waiting) send()
  }
}
