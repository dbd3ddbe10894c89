/**
 * Counts the streams in progress at this host by model and version of the runners' software: those that callers continue if their
 * runner is lost. State without I/O.
 */

/** Streams of one model that began at one version. */
export type OpenStreamCount = { service: string, model: string, softwareVersion: string, openStreams: number }

/** Models and versions that are reported, those with most streams first: more than a release has, and little in a report. */
const MAX_REPORTED = 32

export class OpenStreams {
  readonly #counts = new Map<string, OpenStreamCount>()

  private constructor () {}

  static create (): OpenStreams {
    return new OpenStreams()
  }

  /** @returns a function that removes the stream; called once, when its answer has ended */
  add (service: string, model: string, softwareVersion: string): () => void {
    const key = [service, model, softwareVersion].join('\n')
    const count = this.#counts.get(key) ?? { service, model, softwareVersion, openStreams: 0 }
    this.#counts.set(key, count)
    count.openStreams += 1
    return () => {
      count.openStreams -= 1
      if (count.openStreams === 0) this.#counts.delete(key)
    }
  }

  /** @param isReported whether the streams of a service are to be reported */
  counts (isReported: (service: string) => boolean): OpenStreamCount[] {
    const reported = [...this.#counts.values()].filter(({ service }) => isReported(service))
    return reported.sort((a, b) => b.openStreams - a.openStreams).slice(0, MAX_REPORTED).map((count) => ({ ...count }))
  }
}
