/** Small HTTP calls to stand-ins and daemons. */

export async function getJson (url, timeoutMs = 1000) {
  const answer = await fetch(url, { signal: AbortSignal.timeout(timeoutMs) })
  if (!answer.ok) throw new Error(`${url} answered ${answer.status}`)
  return answer.json()
}

export async function postJson (url, body, { method = 'POST', timeoutMs = 2000 } = {}) {
  const answer = await fetch(url, { method, headers: { 'content-type': 'application/json' }, body: JSON.stringify(body), signal: AbortSignal.timeout(timeoutMs) })
  return answer.json()
}

/** A host's status by the inner protocol. */
export function getStatus (host) {
  return postJson(`${host.ready.listening.operatorUrl}/figloom.inner.v1.InnerService/GetStatus`, { protocolVersion: 1 }, { timeoutMs: 1000 })
}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms))
