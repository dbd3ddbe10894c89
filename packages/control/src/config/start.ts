/** Finds the newest state to start from: a snapshot in the log or one of a peer. */
import { ResultCode } from '@figloom/runtime'
import type { LogClient } from '@figloom/clients'
import { readBounds, type StreamBounds } from '../streams/stream-follower.js'
import type { ConfigRule, SnapshotSource } from './types.js'

export type StartOptions<State> = {
  log: LogClient
  stream: string
  rule: ConfigRule<State>
  peers: SnapshotSource
  /** Offset that the host already has; 0 without a state. */
  offset: number
  /** Called with the newest state of the peers as soon as they answered, so that a silent log delays nothing. */
  onPeerState: (state: State) => void
}

export type StartPoint<State> = {
  /** Newest state found that is newer than `offset`. */
  state?: State
  logAnswered: boolean
  /** Whether the log keeps the record after the newest state, so that nothing is left out. */
  canFollow: boolean
  /** Next offset of the log when it was asked; 0 if it did not answer. */
  nextOffset: number
}

type LogStart<State> = { state?: State, firstOffset?: number, nextOffset: number }

/** Asks the log and the peers at once and takes the state with the highest offset. */
export async function findStart<State> (options: StartOptions<State>): Promise<StartPoint<State>> {
  const [inLog, ofPeers] = await Promise.all([findInLog(options), fetchFromPeers(options)])
  const candidates = [...ofPeers, ...(inLog.state === undefined ? [] : [inLog.state])]
  const state = newest(options.rule, candidates, options.offset)
  const offset = state === undefined ? options.offset : options.rule.offsetOf(state)
  const canFollow = inLog.firstOffset !== undefined && offset + 1 >= inLog.firstOffset
  const logAnswered = inLog.firstOffset !== undefined
  const point = { logAnswered, canFollow, nextOffset: inLog.nextOffset }
  return state === undefined ? point : { ...point, state }
}

async function fetchFromPeers<State> ({ peers, rule, offset, onPeerState }: StartOptions<State>): Promise<State[]> {
  const snapshots = await peers.fetch(offset).catch(() => [])
  const states = snapshots.flatMap((snapshot) => rule.fromSnapshot(snapshot).match((state) => [state], () => []))
  const best = newest(rule, states, offset)
  if (best === undefined) return []
  onPeerState(best)
  return [best]
}

async function findInLog<State> (options: StartOptions<State>): Promise<LogStart<State>> {
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

function withState<State> (state: State | undefined, { firstOffset, nextOffset }: StreamBounds): LogStart<State> {
  return state === undefined ? { firstOffset, nextOffset } : { state, firstOffset, nextOffset }
}

function newest<State> (
  rule: ConfigRule<State>,
  candidates: (State | undefined)[],
  above: number,
  best?: State
): State | undefined {
  for (const candidate of candidates) {
    if (candidate === undefined) continue
    const bar = best === undefined ? above : rule.offsetOf(best)
    if (rule.offsetOf(candidate) > bar) best = candidate
  }
  return best
}
