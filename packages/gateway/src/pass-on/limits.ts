/** Bounds on requests that hosts pass on for each other. */

/** Leaves room for headers within the largest message between hosts. */
export const MAX_BODY_BYTES = 12_582_912
/** Each holds a connection from another host and one to a runner. */
export const MAX_CONCURRENT_REQUESTS = 512
/** Size of the chunks in which an answer's body is passed on. */
export const MAX_CHUNK_BYTES = 65_536
/** Bytes of an answer that wait for the other host before reading from the runner pauses. */
export const MAX_QUEUED_BYTES = 262_144
/** Largest part of an answer that is accepted: a chunk, or a head with many headers. */
export const MAX_PART_BYTES = 1_048_576
