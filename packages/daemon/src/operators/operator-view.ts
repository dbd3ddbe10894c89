import type { MessageInitShape } from '@bufbuild/protobuf'
import type { DrainResponseSchema, StatusResponseSchema } from '@figloom/protocol'

/** Requests that operators can make to a daemon. */
export abstract class OperatorView {
  abstract status (): MessageInitShape<typeof StatusResponseSchema>

  /** JSON description of how a route is served at present; empty if there is no such route. */
  abstract explain (route: string): string

  /** Stops new work for a runner or a host. */
  abstract drain (target: string): Promise<MessageInitShape<typeof DrainResponseSchema>>
}
