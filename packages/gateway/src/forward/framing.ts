/** Where the body of an answer ends, by the rules of HTTP. */

const FRAMING_HEADERS: readonly string[] = ['content-length', 'transfer-encoding']
const NO_CONTENT_STATUS = 204
const NOT_MODIFIED_STATUS = 304

/** Whether the body has a length or is chunked. Otherwise it ends when the connection does. @param names of the headers, in any case */
export function isFramed (names: readonly string[]): boolean {
  return names.some((name) => FRAMING_HEADERS.includes(name.toLowerCase()))
}

/** Whether a final answer with this status to a request that isn't HEAD has a body. */
export function allowsBody (status: number): boolean {
  return status !== NO_CONTENT_STATUS && status !== NOT_MODIFIED_STATUS
}
