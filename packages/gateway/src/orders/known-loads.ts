/** Estimates when a model will be ready, from the loads in progress that the lease holder reports. */
import type { ExpectedLoad } from '../members/types.js'
import { LoadForecast } from '../serve/types.js'

export class KnownLoads extends LoadForecast {
  private constructor (private readonly loads: () => readonly ExpectedLoad[]) {
    super()
  }

  static create (loads: () => readonly ExpectedLoad[]): KnownLoads {
    return new KnownLoads(loads)
  }

  override readyInMs (service: string, model: string): number | undefined {
    const readyTimesMs = this.loads().filter((load) => load.service === service && load.model === model).map(({ readyInMs }) => readyInMs)
    return readyTimesMs.length === 0 ? undefined : Math.min(...readyTimesMs)
  }
}
