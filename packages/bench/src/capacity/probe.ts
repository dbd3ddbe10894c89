/** Readings of processor time and heap for work on this machine. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

const MIB = 1024 * 1024
const BATCHES = 15

/** Median time of one run in microseconds, over batches of `runs`. */
export function medianUs (runs: number, run: () => void): number {
  run()
  const times = Array.from({ length: BATCHES }, () => {
    const startedMs = performance.now()
    for (let count = 0; count < runs; count++) run()
    return (performance.now() - startedMs) * 1000 / runs
  })
  return times.sort((a, b) => a - b)[BATCHES >> 1] ?? NaN
}

/** Heap in MiB that a value keeps alive. */
export function heapOfMiB<Value> (build: () => Value): { value: Value, heapMiB: number } {
  const before = liveHeapBytes()
  const value = build()
  return { value, heapMiB: (liveHeapBytes() - before) / MIB }
}

/** Processor time of a span of work in milliseconds. */
export async function cpuOfMs (work: () => Promise<void>): Promise<number> {
  const before = process.cpuUsage()
  await work()
  const { user, system } = process.cpuUsage(before)
  return (user + system) / 1000
}

function liveHeapBytes (): number {
  setFlagsFromString('--expose-gc')
  const collect: () => void = runInNewContext('gc')
  collect()
  collect()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}
