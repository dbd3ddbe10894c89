/** What the platform keeps about versions of the runners' software and the streams that began at them. */

/** A version of the software at which runners of a service may have begun streams, until this long after it was seen last. */
export type VersionRecord = { service: string, softwareVersion: string, lastSeenAt: Date }

/** Streams of one service that began at one version: ids of the requests that brought their first events. */
export type StreamBatch = { service: string, softwareVersion: string, requestIds: readonly string[] }

/** Records on the platform, for hosts that start and for those that a caller continues a stream at. */
export abstract class StreamLog {
  /** The versions as the platform has them now. Rejects if it doesn't answer. */
  abstract readVersions (): Promise<VersionRecord[]>
  /** Rejects if the outcome is unknown. */
  abstract writeVersion (record: VersionRecord): Promise<void>
  /** Batches since the last read; at the first read, all that are kept. Rejects if the platform doesn't answer. */
  abstract readStreams (): Promise<StreamBatch[]>
  abstract writeStreams (batch: StreamBatch): Promise<void>
}

/** Version of a runner whose entry states none: it is never the same as another one. */
export const UNSTATED_VERSION = ''
