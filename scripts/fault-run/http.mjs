/** HTTP helpers for stand-ins and daemons. */

export async function getJson (url, timeoutMs = 1000) {
  const response = await fetch(url, { signal: AbortSignal.timeout(timeoutMs) })
  if (!response.ok) throw new Error(`${url} responded with status ${response.status}`)
  return response.json()
}

export async function postJson (url, body, { method = 'POST', timeoutMs = 2000 } = {}) {
  const response = await fetch(url, { method, headers: { 'content-type': 'application/json' }, body: JSON.stringify(body), signal: AbortSignal.timeout(timeoutMs) })
  return response.json()
}

/** Reads a host's status through the inner protocol. */
export function getStatus (host) {
  return postJson(`${host.ready.listening.operatorUrl}/figloom.inner.v1.InnerService/GetStatus`, { protocolVersion: 1 }, { timeoutMs: 1000 })
}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms))
