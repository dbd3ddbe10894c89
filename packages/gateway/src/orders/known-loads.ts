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

  override readyInMs (service: string, model: string, softwareVersion?: string): number | undefined {
    const loads = this.#loadsAt(service, softwareVersion).filter((load) => load.model === model)
    const readyTimesMs = loads.map(({ readyInMs }) => readyInMs)
    return readyTimesMs.length === 0 ? undefined : Math.min(...readyTimesMs)
  }

  override freeInMs (service: string, softwareVersion: string, runners: number): number {
    const readyTimesMs = this.#loadsAt(service, softwareVersion).map(({ readyInMs }) => readyInMs)
    return readyTimesMs.length < runners ? 0 : Math.min(...readyTimesMs)
  }

  #loadsAt (service: string, softwareVersion: string | undefined): ExpectedLoad[] {
    const loads = this.loads().filter((load) => load.service === service)
    return softwareVersion === undefined ? loads : loads.filter((load) => load.softwareVersion === softwareVersion)
  }
}
