/** Finds the newest state to start from: a snapshot in the log or at a peer. */
import { ResultCode } from '@figloom/runtime'
import type { LogClient } from '@figloom/clients'
import { readBounds, type StreamBounds } from '../streams/stream-follower.js'
import type { ConfigRule, SnapshotSource } from './types.js'

export type StartPointOptions<State> = {
  log: LogClient
  stream: string
  rule: ConfigRule<State>
  peers: SnapshotSource
  /** Offset of the state that this host has; 0 without one. */
  offset: number
  /** Called with the newest state of the peers as soon as they answered, without waiting for the log. */
  onPeerState: (state: State) => void
}

export type StartPoint<State> = {
  /** Newest state found; undefined if none is newer than `offset`. */
  state?: State
  logAnswered: boolean
  /** Whether the log still has the record after the newest state, so that no record is missed. */
  canFollow: boolean
  /** Offset that the log would give to the next record; 0 if the log did not answer. */
  nextOffset: number
}

type LogStartPoint<State> = { state?: State, firstOffset?: number, nextOffset: number }

/** Reads the log and the peers' snapshots concurrently and takes the state with the highest offset. */
export async function findStartPoint<State> (options: StartPointOptions<State>): Promise<StartPoint<State>> {
  const [inLog, ofPeers] = await Promise.all([findInLog(options), fetchFromPeers(options)])
  const candidates = [...ofPeers, ...(inLog.state === undefined ? [] : [inLog.state])]
  const state = newest(options.rule, candidates, options.offset)
  const offset = state === undefined ? options.offset : options.rule.offsetOf(state)
  const canFollow = inLog.firstOffset !== undefined && offset + 1 >= inLog.firstOffset
  const logAnswered = inLog.firstOffset !== undefined
  const point = { logAnswered, canFollow, nextOffset: inLog.nextOffset }
  return state === undefined ? point : { ...point, state }
}

async function fetchFromPeers<State> ({ peers, rule, offset, onPeerState }: StartPointOptions<State>): Promise<State[]> {
  const snapshots = await peers.fetch(offset).catch(() => [])
  const states = snapshots.flatMap((snapshot) => rule.fromSnapshot(snapshot).match((state) => [state], () => []))
  const best = newest(rule, states, offset)
  if (best === undefined) return []
  onPeerState(best)
  return [best]
}

async function findInLog<State> (options: StartPointOptions<State>): Promise<LogStartPoint<State>> {
  const { log, stream, rule } = options
  const bounds = await readBounds(log, stream)
  if (bounds.isErr()) return { nextOffset: 0 }
  const { firstOffset, nextOffset } = bounds.value
  if (firstOffset === 1) return { firstOffset, nextOffset }
  let state: State | undefined
  for (let from = firstOffset; from < nextOffset;) {
    const page = await log.read(stream, { from })
    if (page.isErr()) return page.error.code.code === ResultCode.LogTruncated.code ? findInLog(options) : withState(state, bounds.value)
    if (page.value.records.length === 0) break
    for (const record of page.value.records) state = newest(rule, [rule.stateInRecord(record)], 0, state)
    from += page.value.records.length
  }
  return withState(state, bounds.value)
}

function withState<State> (state: State | undefined, { firstOffset, nextOffset }: StreamBounds): LogStartPoint<State> {
  return state === undefined ? { firstOffset, nextOffset } : { state, firstOffset, nextOffset }
}

function newest<State> (
  rule: ConfigRule<State>,
  candidates: (State | undefined)[],
  aboveOffset: number,
  best?: State
): State | undefined {
  for (const candidate of candidates) {
    if (candidate === undefined) continue
    const threshold = best === undefined ? aboveOffset : rule.offsetOf(best)
    if (rule.offsetOf(candidate) > threshold) best = candidate
  }
  return best
}
