/** Puts lines of several hosts on one clock, by the differences that hosts measure when they speak to each other. */
import { numberOf, textOf, type LogLine } from './log-line.js'

/** From a time on, one host saw the clock of another ahead of its own by so much. */
type Difference = { fromUnixMs: number, host: string, peer: string, aheadMs: number }

const CLOCK_MESSAGES: readonly string[] = ['host answers', 'clock of a host moved']

export class HostClocks {
  private constructor (private readonly differences: readonly Difference[], private readonly reference: string) {}

  /** Times are given by the clock of `reference`. */
  static create (lines: readonly LogLine[], reference: string): HostClocks {
    return new HostClocks(lines.flatMap(readDifference), reference)
  }

  /** The line's time on the reference clock; undefined if nothing ties the two clocks together. */
  toReferenceMs (line: LogLine): number | undefined {
    if (line.host === this.reference) return line.writtenUnixMs
    const aheadMs = this.#aheadMs(line.host, line.writtenUnixMs)
    return aheadMs === undefined ? undefined : line.writtenUnixMs - aheadMs
  }

  /** How far a host's clock is ahead of the reference, measured at either end, as late before the time as there is. */
  #aheadMs (host: string, atUnixMs: number): number | undefined {
    const seen = this.differences.filter((difference) => difference.host === this.reference && difference.peer === host)
    const own = this.differences.filter((difference) => difference.host === host && difference.peer === this.reference)
    const candidates = [...seen, ...own.map((difference) => ({ ...difference, aheadMs: -difference.aheadMs }))]
    const earlier = candidates.filter(({ fromUnixMs }) => fromUnixMs <= atUnixMs)
    const latest = [...earlier].sort((a, b) => b.fromUnixMs - a.fromUnixMs)[0]
    return (latest ?? candidates[0])?.aheadMs
  }
}

function readDifference (line: LogLine): Difference[] {
  const peer = textOf(line, 'peer')
  const aheadMs = numberOf(line, 'clockAheadMs')
  if (!CLOCK_MESSAGES.includes(line.message) || peer === undefined || aheadMs === undefined) return []
  return [{ fromUnixMs: line.writtenUnixMs, host: line.host, peer, aheadMs }]
}
