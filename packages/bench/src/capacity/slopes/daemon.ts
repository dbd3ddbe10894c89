/** Measures the request path of one daemon process: processor time per request and per token, memory per stream. */
import { fitLine, type Fit } from '../fit.js'

export type DaemonSlopes = {
  /** Processor time of one streamed request by number of tokens, in microseconds. */
  requestUs: Fit
  /** Resident memory by number of streams in flight, in MiB. */
  memoryMiB: Fit
  /** Processor time of the idle daemon, in percent of a core. */
  restCorePercent: number
}

type Cluster = { hosts: { callerUrl: string, operatorUrl: string }[], stop: () => Promise<void> }
type ClusterScript = { startCluster: (options: object) => Promise<Cluster> }

const TOKENS = [1, 16, 64, 128]
const REQUESTS = 300
const CONCURRENCY = 8
const STREAMS = [0, 20, 40, 60]
const IDLE_MS = 10_000
const SETTLE_MS = 3000
const ENGINES = 8

/** Runs one entry host with engines that respond without delay, then with engines that generate slowly, so that streams stay open. */
export async function measureDaemon (): Promise<DaemonSlopes> {
  const script = new URL('../../../../../scripts/first-run/cluster.mjs', import.meta.url).href
  const { startCluster } = await import(script) as ClusterScript
  const fast = await startCluster({ hostCount: 1, engineCount: 2, engineFields: 'tokenMs = 0\nfirstTokenMs = 0\nslots = 256', sections: '' })
  const { requestUs, restCorePercent } = await measureRequests(fast).finally(() => fast.stop())
  const slow = await startCluster({ hostCount: 1, engineCount: ENGINES, engineFields: 'tokenMs = 400\nslots = 256', betweenTokensTargetMs: 1000 })
  const memoryMiB = await measureStreams(slow).finally(() => slow.stop())
  return { requestUs, memoryMiB, restCorePercent }
}

async function measureRequests (cluster: Cluster) {
  const host = firstHost(cluster)
  await waitUntilServed(host.callerUrl)
  await sendMany(host.callerUrl, 16, REQUESTS)
  const points = []
  for (const tokens of TOKENS) {
    const before = await readMetric(host.operatorUrl, 'process_cpu_seconds_total')
    await sendMany(host.callerUrl, tokens, REQUESTS)
    const after = await readMetric(host.operatorUrl, 'process_cpu_seconds_total')
    points.push({ size: tokens, cost: (after - before) * 1e6 / REQUESTS })
  }
  const restBefore = await readMetric(host.operatorUrl, 'process_cpu_seconds_total')
  await sleep(IDLE_MS)
  const restAfter = await readMetric(host.operatorUrl, 'process_cpu_seconds_total')
  return { requestUs: fitLine(points), restCorePercent: (restAfter - restBefore) * 1000 / IDLE_MS * 100 }
}

async function measureStreams (cluster: Cluster): Promise<Fit> {
  const host = firstHost(cluster)
  await waitUntilServed(host.callerUrl)
  await sleep(SETTLE_MS)
  const abort = new AbortController()
  const points = []
  let open = 0
  for (const streams of STREAMS) {
    await Promise.all(Array.from({ length: streams - open }, () => openStream(host.callerUrl, abort.signal)))
    open = streams
    await sleep(SETTLE_MS)
    points.push({ size: streams, cost: await readMetric(host.operatorUrl, 'process_resident_memory_bytes') / 1024 / 1024 })
  }
  abort.abort()
  return fitLine(points)
}

async function sendMany (url: string, tokens: number, count: number): Promise<void> {
  let remaining = count
  const worker = async () => {
    for (; remaining > 0;) {
      remaining -= 1
      const response = await send(url, tokens)
      const text = await response.text()
      if (!response.ok || !text.endsWith('data: [DONE]\n\n')) throw new Error(`incomplete response: ${response.status} ${text.slice(-200)}`)
    }
  }
  await Promise.all(Array.from({ length: CONCURRENCY }, worker))
}

async function openStream (url: string, signal: AbortSignal): Promise<void> {
  const response = await send(url, 2000, signal)
  if (!response.ok) throw new Error(`stream request failed: ${await response.text()}`)
  const reader = response.body?.getReader()
  await reader?.read()
  const drain = async () => { for (; !(await reader?.read())?.done;); }
  drain().catch(() => {})
}

function send (url: string, tokens: number, signal?: AbortSignal): Promise<Response> {
  const body = { model: 'tasting-notes', stream: true, max_tokens: tokens, messages: [{ role: 'user', content: 'Two lines on a Dão white, for a buyer who knows the region.' }] }
  return fetch(`${url}/v1/chat/completions`, {
    method: 'POST', headers: { 'figloom-deadline-ms': '30000' }, body: JSON.stringify(body), ...(signal === undefined ? {} : { signal })
  })
}

async function waitUntilServed (url: string): Promise<void> {
  for (let attempt = 0; attempt < 200; attempt++) {
    const response = await send(url, 1)
    await response.text()
    if (response.ok) return
    await sleep(100)
  }
  throw new Error('the host did not serve a request within 200 attempts')
}

async function readMetric (operatorUrl: string, name: string): Promise<number> {
  const text = await (await fetch(`${operatorUrl}/metrics`)).text()
  const line = text.split('\n').find((candidate) => candidate.startsWith(`${name}{`) || candidate.startsWith(`${name} `))
  if (line === undefined) throw new Error(`metric not found: ${name}`)
  return Number(line.slice(line.lastIndexOf(' ') + 1))
}

function firstHost (cluster: Cluster) {
  const [host] = cluster.hosts
  if (host === undefined) throw new Error('the cluster has no host')
  return host
}

function sleep (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
