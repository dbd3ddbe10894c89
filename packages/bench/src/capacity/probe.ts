/** Measures processor time and heap on this machine. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

const MIB = 1024 * 1024
const BATCH_COUNT = 15

/** Median time of one run in microseconds, over batches of `runs`. */
export function medianUs (runs: number, run: () => void): number {
  run()
  const times = Array.from({ length: BATCH_COUNT }, () => {
    const startMs = performance.now()
    for (let count = 0; count < runs; count++) run()
    return (performance.now() - startMs) * 1000 / runs
  })
  return times.sort((a, b) => a - b)[BATCH_COUNT >> 1] ?? NaN
}

/** Builds a value and returns it with the heap that it retains, in MiB. */
export function measureHeapMiB<Value> (build: () => Value): { value: Value, heapMiB: number } {
  const before = liveHeapBytes()
  const value = build()
  return { value, heapMiB: (liveHeapBytes() - before) / MIB }
}

/** Processor time that `work` uses, in milliseconds. */
export async function measureCpuMs (work: () => Promise<void>): Promise<number> {
  const before = process.cpuUsage()
  await work()
  const { user, system } = process.cpuUsage(before)
  return (user + system) / 1000
}

function liveHeapBytes (): number {
  setFlagsFromString('--expose-gc')
  const collectGarbage: () => void = runInNewContext('gc')
  collectGarbage()
  collectGarbage()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}
