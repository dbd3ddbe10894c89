/** Inner protocol between figloom daemons, generated from proto/, and its version. */
export * from './gen/figloom/inner/v1/inner_pb.js'
export * from './gen/figloom/inner/v1/gateway_pb.js'

/** Version that this release speaks. */
export const PROTOCOL_VERSION = 1

/** Oldest version that this release still answers. */
export const MIN_PROTOCOL_VERSION = 1

/** Whether a peer's version can be answered. Newer versions must stay readable by older releases. */
export function isSupportedVersion (version: number): boolean {
  return version >= MIN_PROTOCOL_VERSION
}
