/** Converts the times of log lines of several hosts to one clock, using the clock offsets that hosts measure and log when they call each other. */
import { numberOf, textOf, type LogLine } from './log-line.js'

/** From `fromUnixMs` on, `host` measured the clock of `peer` as `aheadMs` ahead of its own. */
type ClockOffset = { fromUnixMs: number, host: string, peer: string, aheadMs: number }

const CLOCK_MESSAGES: readonly string[] = ['host answers', 'clock of a host moved']

export class HostClocks {
  private constructor (private readonly offsets: readonly ClockOffset[], private readonly reference: string) {}

  /** `reference` names the host whose clock is used. */
  static create (lines: readonly LogLine[], reference: string): HostClocks {
    return new HostClocks(lines.flatMap(readClockOffset), reference)
  }

  /** The line's time on the reference clock; undefined if neither host logged an offset between the two clocks. */
  toReferenceMs (line: LogLine): number | undefined {
    if (line.host === this.reference) return line.writtenUnixMs
    const aheadMs = this.#aheadMs(line.host, line.writtenUnixMs)
    return aheadMs === undefined ? undefined : line.writtenUnixMs - aheadMs
  }

  /** How far a host's clock is ahead of the reference: the last offset that either of them measured by that time, else one measured later. */
  #aheadMs (host: string, atUnixMs: number): number | undefined {
    const byReference = this.offsets.filter((offset) => offset.host === this.reference && offset.peer === host)
    const byHost = this.offsets.filter((offset) => offset.host === host && offset.peer === this.reference)
    const candidates = [...byReference, ...byHost.map((offset) => ({ ...offset, aheadMs: -offset.aheadMs }))]
    const earlier = candidates.filter(({ fromUnixMs }) => fromUnixMs <= atUnixMs)
    const latest = [...earlier].sort((a, b) => b.fromUnixMs - a.fromUnixMs)[0]
    return (latest ?? candidates[0])?.aheadMs
  }
}

function readClockOffset (line: LogLine): ClockOffset[] {
  const peer = textOf(line, 'peer')
  const aheadMs = numberOf(line, 'clockAheadMs')
  if (!CLOCK_MESSAGES.includes(line.message) || peer === undefined || aheadMs === undefined) return []
  return [{ fromUnixMs: line.writtenUnixMs, host: line.host, peer, aheadMs }]
}
