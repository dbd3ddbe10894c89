/** Protocols between figloom hosts, generated from proto/, and the version of the inner protocol. */
export * from './gen/figloom/inner/v1/inner_pb.js'
export * from './gen/figloom/inner/v1/gateway_pb.js'

/** Version of the inner protocol that this release uses. */
export const PROTOCOL_VERSION = 1

/** Oldest version of the inner protocol that this release accepts. */
export const MIN_PROTOCOL_VERSION = 1

/** Whether this release accepts a peer's version. There is no upper bound: older releases must be able to read newer versions. */
export function isSupportedVersion (version: number): boolean {
  return version >= MIN_PROTOCOL_VERSION
}
