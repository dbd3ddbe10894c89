/** Benchmark of claims on idempotency keys: log appends and bytes, latency of a claim, memory and processing time per key. */
import { createHash } from 'node:crypto'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import prand from 'pure-rand'
import { applyClaimRecord, ClaimState, ClaimStream, DEFAULT_CLAIM_LIMITS, type ClaimLogEntry, type ClaimRequest } from '@figloom/control'
import { ManualClock, silentLogger } from '@figloom/runtime'
import { MemoryLog } from '@figloom/standin'

const SEED = 7
const RUN_MS = 30_000
const LOG_DELAY_MS = 5
const SERVICE_TIME_MS = 60
const RESPONSE_BYTES = 300
const KEY_COUNT = 200_000
const FINGERPRINT = 'AAAAAAAAAAA'

type BatchingResult = {
  claimsPerSecond: number
  windowMs: number
  appendsPerSecond: number
  claimMedianMs: number
  claimP99Ms: number
  logBytesPerCall: number
}

/** Runs all parts and prints one JSON document. */
export async function runClaims (): Promise<void> {
  const batching: BatchingResult[] = []
  for (const claimsPerSecond of [1, 11, 45, 90, 180]) {
    for (const windowMs of [0, 10, 25, 40]) batching.push(await measureBatching(claimsPerSecond, windowMs))
  }
  console.log(JSON.stringify({ seed: SEED, logDelayMs: LOG_DELAY_MS, perStream: batching, keys: await measureKeys() }, null, 2))
}

/** Runs one claim stream at a rate of calls, on a manual clock. Each call ends with an outcome whose response is stored. */
export async function measureBatching (claimsPerSecond: number, windowMs: number): Promise<BatchingResult> {
  const clock = ManualClock.create()
  const log = MemoryLog.create({ clock })
  log.faults.delayMs = LOG_DELAY_MS
  const limits = { ...DEFAULT_CLAIM_LIMITS, windowMs }
  const membership = { host: 'h', incarnation: '1', instance: 1, isLive: () => true, gateways: () => ['h'] }
  const stream = ClaimStream.create({ log, clock, logger: silentLogger, index: 0, ...membership, limits })
  await clock.advance(100)
  const waitsMs: number[] = []
  const random = prand.xoroshiro128plus(SEED)
  const count = claimsPerSecond * RUN_MS / 1000
  const arrivalsMs = Array.from({ length: count }, () => prand.unsafeUniformIntDistribution(0, RUN_MS, random)).sort((a, b) => a - b)
  let nowMs = 0
  for (const [n, atMs] of arrivalsMs.entries()) {
    await clock.advance(atMs - nowMs)
    nowMs = atMs
    runCall(clock, stream, n, waitsMs)
  }
  await clock.advance(5000)
  stream.stop()
  log.faults.delayMs = 0
  const records = (await log.read('claims-0', { from: 1, limit: 1_000_000 }))._unsafeUnwrap().records
  waitsMs.sort((a, b) => a - b)
  return {
    claimsPerSecond,
    windowMs,
    appendsPerSecond: round(records.length / (RUN_MS / 1000)),
    claimMedianMs: round(waitsMs[Math.floor(waitsMs.length / 2)] ?? NaN),
    claimP99Ms: round(waitsMs[Math.floor(waitsMs.length * 0.99)] ?? NaN),
    logBytesPerCall: Math.round(JSON.stringify(records).length / count)
  }
}

async function runCall (clock: ManualClock, stream: ClaimStream, n: number, waitsMs: number[]): Promise<void> {
  const attemptId = `3f1c2a8e-0000-4000-8000-${String(n).padStart(12, '0')}`
  const request: ClaimRequest = { key: keyOf(n), fingerprint: FINGERPRINT, attemptId, host: 'host-0001', incarnation: '1', timeoutMs: 2000 }
  const startMs = clock.monotonicMs()
  const result = await stream.claim(request)
  if (result.kind !== 'won') throw new Error(result.kind)
  waitsMs.push(clock.monotonicMs() - startMs)
  await clock.sleep(SERVICE_TIME_MS)
  const bodyBase64 = Buffer.alloc(RESPONSE_BYTES).toString('base64')
  stream.end({ kind: 'outcome', key: request.key, attemptId, answer: { status: 200, headers: [['content-type', 'application/json']], bodyBase64 } })
}

/** Measures memory and fold time per key, for settled keys without stored responses. */
export async function measureKeys (): Promise<{ keys: number, tableBytesPerKey: number, heapBytesPerKey: number, foldMicrosecondsPerCall: number }> {
  setFlagsFromString('--expose-gc')
  const collectGarbage = runInNewContext('gc') as () => void
  const state = ClaimState.create()
  collectGarbage()
  const beforeBytes = usedBytes()
  const startMs = performance.now()
  for (let n = 0; n < KEY_COUNT; n++) applyClaimRecord(state, { offset: n + 1, recordId: String(n), body: { rule: 1, entries: entriesOf(n) } })
  const elapsedMs = performance.now() - startMs
  collectGarbage()
  await new Promise((resolve) => setImmediate(resolve))
  collectGarbage()
  const bytes = usedBytes() - beforeBytes
  const tableBytes = state.current.bytes + state.previous.bytes
  return {
    keys: state.size,
    tableBytesPerKey: round(tableBytes / KEY_COUNT),
    heapBytesPerKey: round(bytes / KEY_COUNT),
    foldMicrosecondsPerCall: round(elapsedMs * 1000 / KEY_COUNT)
  }
}

function entriesOf (n: number): ClaimLogEntry[] {
  const key = keyOf(n)
  const attemptId = `attempt-${n}`
  return [
    { kind: 'claim', key, fingerprint: FINGERPRINT, attemptId, host: 'h', incarnation: '1' },
    { kind: 'outcome', key, attemptId }
  ]
}

function keyOf (n: number): string {
  return createHash('sha256').update(String(n)).digest().subarray(0, 16).toString('base64url')
}

function usedBytes (): number {
  const { heapUsed, arrayBuffers } = process.memoryUsage()
  return heapUsed + arrayBuffers
}

function round (value: number): number {
  return Math.round(value * 10) / 10
}
