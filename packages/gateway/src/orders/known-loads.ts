/** Answers when a model is expected to serve, from the loads that the holder of the lease has under way. */
import type { ExpectedLoad } from '../members/types.js'
import { LoadOutlook } from '../serve/types.js'

export class KnownLoads extends LoadOutlook {
  private constructor (private readonly loads: () => readonly ExpectedLoad[]) {
    super()
  }

  static create (loads: () => readonly ExpectedLoad[]): KnownLoads {
    return new KnownLoads(loads)
  }

  override readyInMs (service: string, model: string): number | undefined {
    const times = this.loads().filter((load) => load.service === service && load.model === model).map(({ readyInMs }) => readyInMs)
    return times.length === 0 ? undefined : Math.min(...times)
  }
}
