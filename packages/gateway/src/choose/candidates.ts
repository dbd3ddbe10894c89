/** Finds the runners that may take a request now, and the reasons why others may not. */
import type { Service } from '../config/types.js'
import { ClosedBy, GateState, type LocatedRunner, type RunnerGate } from '../gates/types.js'
import type { RunnerState, RunnerTable } from '../runners/runner-table.js'
import type { RunnerEntry } from '../runners/types.js'
import type { Candidate } from './choose-runner.js'

/** What a request requires of its runner, and the limits under which this host sends it. */
export type RequestRequirements = {
  service: Service
  model?: string
  adapter?: string
  /** Whether the request may be run at this runner's version of the software. */
  acceptsVersion: (runner: RunnerEntry) => boolean
  /** The request continues a stream of which its caller has a part. */
  continuesStream: boolean
  /** Runners that must not get this request again. */
  excluded: ReadonlySet<string>
  /** Number of hosts that share the runners' connections. */
  hostCount: number
  /** Latency target of the request: time to the first byte of the answer. */
  targetLatencyMs: number
  /** Whether a runner is open, needs a permit or is closed, by the signals that it sent. */
  gate: (runner: LocatedRunner) => RunnerGate
}

/** A runner that takes no requests for now, and the time until it does again. */
export type ClosedRunner = { id: string, by: ClosedBy, opensInMs: number }

export type CandidateSet = {
  /** Runners that may take the request. */
  open: Candidate[]
  /** Runners that may take the request and have just started or recovered: they are used if no other one is open. */
  starting: Candidate[]
  /** Number of runners that hold the model but are full. */
  fullCount: number
  /** Slots of these runners. */
  fullSlots: number
  /** Runners that hold the model and are closed by a signal of their own, with the time until they open. */
  closed: ClosedRunner[]
  /** Runners that hold the model, but not the adapter. */
  withoutAdapter: Candidate[]
}

/** Requests that may be at a runner, queued ones included, as a part of its slots; the queue must stay short enough for the latency target. */
const ENGINE_UTILIZATION_LIMIT = 1.1
/** The same for requests whose target allows them to wait in a runner's queue, and for those that continue a stream: new ones leave them room. */
const QUEUED_UTILIZATION_LIMIT = 1.4
/** Requests with a latency target above this may wait in a runner's queue. */
export const MIN_QUEUEABLE_TARGET_MS = 2_000
/** The same for services without a model engine, which have few slots and short queues. */
const PLAIN_UTILIZATION_LIMIT = 2
/** Part of a runner's connections that the hosts use; the rest is a reserve for connections that are closing. */
const CONNECTION_SHARE = 0.85

export function findCandidates (table: RunnerTable, need: RequestRequirements, nowMs: number): CandidateSet {
  const healthy = collectCandidates(table, need, nowMs, true)
  if (healthy.open.length > 0 || healthy.withoutAdapter.length > 0) return healthy
  // A runner that has just started is better than none.
  if (healthy.starting.length > 0) return { ...healthy, open: healthy.starting }
  // A runner that failed recently is better than none.
  const all = collectCandidates(table, need, nowMs, false)
  return { ...all, open: [...all.open, ...all.starting] }
}

function collectCandidates (table: RunnerTable, need: RequestRequirements, nowMs: number, healthyOnly: boolean): CandidateSet {
  const set: CandidateSet = { open: [], starting: [], fullCount: 0, fullSlots: 0, closed: [], withoutAdapter: [] }
  for (const state of table.usable(need.service.name)) {
    if (need.model !== undefined && !table.holds(state, need.model, undefined, nowMs)) continue
    if (!need.acceptsVersion(state.entry)) continue
    const gate = need.gate(state.entry)
    if (gate.state === GateState.Closed) {
      set.closed.push({ id: state.entry.id, by: gate.by, opensInMs: gate.opensInMs })
      continue
    }
    if (need.excluded.has(state.entry.id)) continue
    if (healthyOnly && !state.health.accepts(nowMs)) continue
    const candidate = toCandidate(table, state, gate, nowMs)
    if (isFull(candidate, state, need)) {
      set.fullCount += 1
      set.fullSlots += candidate.slots
      continue
    }
    const lacksAdapter = need.model !== undefined && need.adapter !== undefined &&
      !table.holds(state, need.model, need.adapter, nowMs)
    if (lacksAdapter) set.withoutAdapter.push(candidate)
    else if (isHeldBack(candidate, state, need, nowMs)) set.starting.push(candidate)
    else set.open.push(candidate)
  }
  return set
}

function toCandidate (table: RunnerTable, state: RunnerState, gate: RunnerGate, nowMs: number): Candidate {
  const { entry } = state
  return {
    id: entry.id,
    slots: Math.max(1, entry.slots),
    inFlight: table.totalInFlight(state),
    pace: table.paces.paceOf(entry.id, nowMs),
    availabilityZone: entry.availabilityZone,
    needsPermit: gate.state === GateState.NeedsPermit
  }
}

function isFull (candidate: Candidate, state: RunnerState, need: RequestRequirements): boolean {
  if (candidate.inFlight >= candidate.slots * utilizationLimit(need)) return true
  return state.inFlight >= connectionShare(need.service, need.hostCount)
}

/** The runner has just started or recovered and has as many requests as it may get for now. */
function isHeldBack ({ inFlight }: Candidate, state: RunnerState, { hostCount }: RequestRequirements, nowMs: number): boolean {
  return state.slowStart?.admits({ hostCount, ownInFlight: state.inFlight, totalInFlight: inFlight }, nowMs) === false
}

function utilizationLimit (need: RequestRequirements): number {
  if (need.service.engine === undefined) return PLAIN_UTILIZATION_LIMIT
  return need.continuesStream || need.targetLatencyMs > MIN_QUEUEABLE_TARGET_MS ? QUEUED_UTILIZATION_LIMIT : ENGINE_UTILIZATION_LIMIT
}

/** Connections that this host may open to one runner. */
export function connectionShare (service: Service, hostCount: number): number {
  return Math.max(1, Math.floor(service.maxConnections * CONNECTION_SHARE / Math.max(1, hostCount)))
}
