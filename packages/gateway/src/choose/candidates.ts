/** Which runners may take a request now, and why the others may not. */
import type { Service } from '../config/types.js'
import { ClosedBy, GateState, type LocatedRunner, type RunnerGate } from '../closures/types.js'
import type { RunnerState, RunnerTable } from '../runners/runner-table.js'
import type { Candidate } from './choose-runner.js'

/** What a request needs of its runner. */
export type Need = {
  service: Service
  model?: string
  adapter?: string
  /** Runners that this request is not to be sent to again. */
  excluded: ReadonlySet<string>
  /** Hosts that share the runners' connections. */
  hostCount: number
  /** Time to the first byte that the caller was promised. */
  targetLatencyMs: number
  /** Whether a runner is closed by what it said itself. */
  gate: (runner: LocatedRunner) => RunnerGate
}

/** A runner that takes nothing more for now, and when it may again. */
export type ClosedRunner = { id: string, by: ClosedBy, opensInMs: number }

export type CandidateSet = {
  /** Runners that may take the request. */
  open: Candidate[]
  /** Runners that hold what is needed but are full. */
  fullCount: number
  /** Runners that hold what is needed and are closed by what they said, but open again. */
  closed: ClosedRunner[]
  /** Runners that hold the model, but not the adapter. */
  withoutAdapter: Candidate[]
}

/** Part of a runner's places that may be taken, its queue included; the queue must stay short enough for the target. */
const ENGINE_OCCUPATION_LIMIT = 1.1
/** The same for requests that can wait. */
const PATIENT_OCCUPATION_LIMIT = 1.4
/** Requests with a target above this can wait in a runner's queue. */
export const PATIENT_TARGET_MS = 2_000
/** Plain services have few places and queue briefly. */
const PLAIN_OCCUPATION_LIMIT = 2
/** Part of a runner's connections that the hosts use; the rest is left for connections that are closing. */
const CONNECTION_SHARE = 0.85

export function findCandidates (table: RunnerTable, need: Need, nowMs: number): CandidateSet {
  const healthy = collect(table, need, nowMs, true)
  if (healthy.open.length > 0 || healthy.withoutAdapter.length > 0) return healthy
  // Runners that failed of late are better than none.
  return collect(table, need, nowMs, false)
}

function collect (table: RunnerTable, need: Need, nowMs: number, healthyOnly: boolean): CandidateSet {
  const set: CandidateSet = { open: [], fullCount: 0, closed: [], withoutAdapter: [] }
  for (const state of table.usable(need.service.name)) {
    if (need.model !== undefined && !table.holds(state, need.model, undefined, nowMs)) continue
    const gate = need.gate(state.entry)
    if (gate.state === GateState.Closed) {
      set.closed.push({ id: state.entry.id, by: gate.by, opensInMs: gate.opensInMs })
      continue
    }
    if (need.excluded.has(state.entry.id)) continue
    if (healthyOnly && !state.health.accepts(nowMs)) continue
    const candidate = toCandidate(table, state, gate)
    if (isFull(candidate, state, need)) {
      set.fullCount += 1
      continue
    }
    const lacksAdapter = need.model !== undefined && need.adapter !== undefined &&
      !table.holds(state, need.model, need.adapter, nowMs)
    if (lacksAdapter) set.withoutAdapter.push(candidate)
    else set.open.push(candidate)
  }
  return set
}

function toCandidate (table: RunnerTable, state: RunnerState, gate: RunnerGate): Candidate {
  const { entry } = state
  return {
    id: entry.id,
    slots: Math.max(1, entry.slots),
    inFlight: table.totalInFlight(state),
    availabilityZone: entry.availabilityZone,
    needsPermit: gate.state === GateState.NeedsPermit
  }
}

function isFull (candidate: Candidate, state: RunnerState, need: Need): boolean {
  if (candidate.inFlight >= candidate.slots * occupationLimit(need)) return true
  return state.inFlight >= connectionShare(need.service, need.hostCount)
}

function occupationLimit (need: Need): number {
  if (need.service.engine === undefined) return PLAIN_OCCUPATION_LIMIT
  return need.targetLatencyMs > PATIENT_TARGET_MS ? PATIENT_OCCUPATION_LIMIT : ENGINE_OCCUPATION_LIMIT
}

/** Connections that this host may open to one runner. */
export function connectionShare (service: Service, hostCount: number): number {
  return Math.max(1, Math.floor(service.maxConnections * CONNECTION_SHARE / Math.max(1, hostCount)))
}
