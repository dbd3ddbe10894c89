/** Divides the memory of the process among what it keeps for requests. */
import { Counter, Gauge, type Logger, type Registry } from '@figloom/runtime'
import { ByteBudget, ByteKind } from './byte-budget.js'

const BYTES_PER_MB = 1_000_000
/** The program, its heap, and a buffer of each connection. */
const RESERVED_MB = 200
/** Bytes that are given back stay resident until they are collected, about as many as are in use. */
const RESIDENT_PER_USED = 2
/** A machine with less memory than the program needs still serves small requests. */
const MIN_TOTAL_MB = 12

const SHARES: Record<ByteKind, number> = { [ByteKind.Answers]: 0.45, [ByteKind.Requests]: 0.25, [ByteKind.Hop]: 0.15, [ByteKind.Messages]: 0.15 }

export type MemoryBudgets = Record<ByteKind, ByteBudget>

export type MemoryBudgetsOptions = {
  /** Memory above which the platform ends the process. */
  memoryMb: number
  log: Logger
  registry: Registry
}

/** One budget for each kind of bytes; a kind can't take the room of another one. */
export function createMemoryBudgets ({ memoryMb, log, registry }: MemoryBudgetsOptions): MemoryBudgets {
  const totalBytes = Math.max(MIN_TOTAL_MB, (memoryMb - RESERVED_MB) / RESIDENT_PER_USED) * BYTES_PER_MB
  const refused = new Counter({ name: 'figloom_gateway_buffers_refused_total', help: 'Answers, bodies and queues for which no memory was left.', labelNames: ['kind'], registers: [registry] })
  const createBudget = (kind: ByteKind) => ByteBudget.create({
    kind,
    limitBytes: totalBytes * SHARES[kind],
    onNearlyFull: (usedBytes, { owner, bytes, holders }) => log.warn('memory for one kind of data is nearly used up', { kind, usedBytes, limitBytes: Math.round(totalBytes * SHARES[kind]), largestOwner: owner, ownerBytes: bytes, ownerHolds: holders }),
    onRefused: () => refused.inc({ kind })
  })
  const budgets = createEach(createBudget)
  addGauge(registry, budgets)
  return budgets
}

export function createUnlimitedBudgets (): MemoryBudgets {
  return createEach((kind) => ByteBudget.unlimited(kind))
}

function createEach (create: (kind: ByteKind) => ByteBudget): MemoryBudgets {
  return { answers: create(ByteKind.Answers), requests: create(ByteKind.Requests), hop: create(ByteKind.Hop), messages: create(ByteKind.Messages) }
}

function addGauge (registry: Registry, budgets: MemoryBudgets): Gauge {
  return new Gauge({
    name: 'figloom_gateway_buffered_bytes',
    help: 'Bytes that are kept for requests in progress and count against the memory of their kind.',
    labelNames: ['kind'],
    registers: [registry],
    collect () {
      for (const budget of Object.values(budgets)) this.set({ kind: budget.options.kind }, budget.usedBytes)
    }
  })
}
