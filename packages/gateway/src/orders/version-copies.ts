/**
 * Values copies of models by the streams that go on at them, while several versions of the runners' software serve side by side: a
 * stream goes on only at the version that began it, so a model in demand needs two copies at one version. Pure; values are in slots.
 */
import { FIRST_COPY_SLOTS, FULL_FIRST_COPY_DEMAND_SLOTS } from './copy-values.js'
import type { ModelDemand, VersionDemand } from './demand-forecast.js'

/** A runner's version, with the models that it holds or loads. */
export type VersionedRunner = { softwareVersion?: string, models: readonly string[], loading?: string }

/** Part of the streams at the only copy of a model that count for a second one: a runner is lost now and then, not always. */
const AT_RISK_SHARE = 0.3
/** Limit of a second copy's value against the last copy of a model that is requested now and then, which is worth a little more. */
export const MAX_SECOND_COPY_SLOTS = 2.5
/** From this demand on, a second copy is worth the unload of a model that nobody requests. */
export const MIN_SECOND_COPY_DEMAND_SLOTS = 4
/** Models with a second copy at one version, the most requested first: one for this many runners. */
const RUNNERS_PER_SECOND_COPY = 3
/** Holders at a version with which its streams can go on when one is lost. */
export const ENOUGH_COPIES = 2

/** A model whose streams may need another copy. New ones begin at `preferredVersion`; at others only the copies there are count. */
type Protected = {
  slots: number
  preferredVersion: string
  /** By version, with those that are being loaded. */
  copies: Map<string, number>
  /** By version; those that are being loaded serve nothing until seconds later. */
  resident: Map<string, number>
}

/** Streams that can go on at one version alone. */
type VersionStreams = {
  /** Slots that callers need who continue them while no runner of the version holds their model. */
  takeUpSlots: number
  /** Those in progress, if they are enough for a second copy; 0 otherwise. */
  atRisk: number
  /** Of their model at the version, with those that are being loaded. */
  copies: number
  /** Those that serve. */
  resident: number
}

export class VersionCopies {
  readonly #protected = new Map<string, Protected>()
  /** By model and version. */
  readonly #streams = new Map<string, Map<string, VersionStreams>>()

  private constructor () {}

  /** Counts nothing: all runners have one version. */
  static none (): VersionCopies {
    return new VersionCopies()
  }

  /** @param runners those that stay: runners that drain or leave take no streams */
  static create (runners: readonly VersionedRunner[], demand: ReadonlyMap<string, ModelDemand>, streams: readonly VersionDemand[] = []): VersionCopies {
    const copies = new VersionCopies()
    const maxModels = Math.ceil(runners.length / RUNNERS_PER_SECOND_COPY)
    const requested = [...demand].map(([model, { currentSlots, forecastSlots }]) => ({ model, slots: Math.max(currentSlots, forecastSlots) }))
    const mostRequested = requested.filter(({ slots }) => slots >= MIN_SECOND_COPY_DEMAND_SLOTS).sort((a, b) => b.slots - a.slots).slice(0, maxModels)
    const sizes = countVersions(runners)
    for (const { model, slots } of mostRequested) {
      const held = countVersions(holdersOf(model, runners))
      const resident = countVersions(runners.filter(({ models }) => models.includes(model)))
      const preferredVersion = preferVersion(held, sizes)
      if (preferredVersion !== undefined) copies.#protected.set(model, { slots, preferredVersion, copies: held, resident })
    }
    const mostStreams = streams.filter(({ openStreams }) => openStreams >= MIN_SECOND_COPY_DEMAND_SLOTS).sort((a, b) => b.openStreams - a.openStreams).slice(0, maxModels)
    for (const demand of streams) copies.#addStreams(demand, mostStreams.includes(demand), runners)
    return copies
  }

  #addStreams ({ model, softwareVersion, takeUpSlots, openStreams }: VersionDemand, isProtected: boolean, runners: readonly VersionedRunner[]): void {
    const versions = this.#streams.get(model) ?? new Map<string, VersionStreams>()
    this.#streams.set(model, versions)
    const holders = holdersOf(model, runners).filter((runner) => runner.softwareVersion === softwareVersion)
    const resident = holders.filter(({ models }) => models.includes(model)).length
    versions.set(softwareVersion, { takeUpSlots, atRisk: isProtected ? openStreams : 0, copies: holders.length, resident })
  }

  addCopies (model: string, softwareVersion: string | undefined, count: number): void {
    const streams = this.#streamsOf(model, softwareVersion)
    if (streams !== undefined) streams.copies += count
    if (streams !== undefined && count < 0) streams.resident += count
    const known = this.#protected.get(model)
    if (known === undefined || softwareVersion === undefined) return
    known.copies.set(softwareVersion, (known.copies.get(softwareVersion) ?? 0) + count)
    if (count < 0) known.resident.set(softwareVersion, (known.resident.get(softwareVersion) ?? 0) + count)
  }

  /** Whether one more copy at some version would let its streams go on when a runner is lost. */
  isShort (model: string): boolean {
    const lacksCopies = (softwareVersion: string) => this.takeUpGain(model, softwareVersion) > 0 || this.gain(model, softwareVersion) > 0
    return [...this.#streams.get(model)?.keys() ?? []].some(lacksCopies) || this.gain(model, this.#protected.get(model)?.preferredVersion) > 0
  }

  /** Value that the first copy at this version has for streams that callers continue: nothing else can serve them. */
  takeUpGain (model: string, softwareVersion: string | undefined): number {
    const streams = this.#streamsOf(model, softwareVersion)
    return streams === undefined || streams.copies > 0 ? 0 : takeUpValue(streams.takeUpSlots)
  }

  #streamsOf (model: string, softwareVersion: string | undefined): VersionStreams | undefined {
    return softwareVersion === undefined ? undefined : this.#streams.get(model)?.get(softwareVersion)
  }

  /** Value that one more copy adds at this version; negative where streams would begin at it that go on nowhere else. */
  gain (model: string, softwareVersion: string | undefined): number {
    const streams = this.#streamsOf(model, softwareVersion)
    const openGain = streams?.copies === ENOUGH_COPIES - 1 ? secondCopySlots(streams.atRisk) : 0
    const newGain = this.#gainOfNewStreams(model, softwareVersion)
    return openGain > 0 ? Math.max(openGain, newGain) : newGain
  }

  #gainOfNewStreams (model: string, softwareVersion: string | undefined): number {
    const known = this.#protected.get(model)
    if (known === undefined || softwareVersion === undefined) return 0
    const held = known.copies.get(softwareVersion) ?? 0
    const total = sumOf(known.copies)
    if (total === 0) return 0
    if (softwareVersion !== known.preferredVersion) return held === 0 ? -AT_RISK_SHARE * known.slots / (total + 1) : 0
    if (held >= ENOUGH_COPIES) return 0
    return Math.min(MAX_SECOND_COPY_SLOTS, secondCopySlots(known.slots)) * (held + 1) / ENOUGH_COPIES
  }

  /** Value that the only copy at this version has for streams that callers continue. */
  takeUpLoss (model: string, softwareVersion: string | undefined): number {
    const streams = this.#streamsOf(model, softwareVersion)
    return streams?.copies === 1 ? takeUpValue(streams.takeUpSlots) : 0
  }

  /** Value that a second copy at this version has, as the streams there can go on with it. */
  loss (model: string, softwareVersion: string | undefined): number {
    const streams = this.#streamsOf(model, softwareVersion)
    const openLoss = streams?.resident === ENOUGH_COPIES ? secondCopySlots(streams.atRisk) : 0
    return Math.max(openLoss, this.#lossOfNewStreams(model, softwareVersion))
  }

  #lossOfNewStreams (model: string, softwareVersion: string | undefined): number {
    const known = this.#protected.get(model)
    if (known === undefined || softwareVersion === undefined || known.resident.get(softwareVersion) !== ENOUGH_COPIES) return 0
    const share = softwareVersion === known.preferredVersion ? 1 : ENOUGH_COPIES / sumOf(known.resident)
    return Math.min(MAX_SECOND_COPY_SLOTS, secondCopySlots(known.slots * share))
  }
}

function secondCopySlots (demandSlots: number): number {
  return demandSlots * AT_RISK_SHARE
}

function takeUpValue (demandSlots: number): number {
  return demandSlots + FIRST_COPY_SLOTS * Math.min(1, demandSlots / FULL_FIRST_COPY_DEMAND_SLOTS)
}

function holdersOf (model: string, runners: readonly VersionedRunner[]): VersionedRunner[] {
  return runners.filter(({ models, loading }) => models.includes(model) || loading === model)
}

/** Runners that state no version are left out: no stream goes on there. */
function countVersions (runners: readonly VersionedRunner[]): Map<string, number> {
  const counts = new Map<string, number>()
  for (const { softwareVersion } of runners) {
    if (softwareVersion !== undefined) counts.set(softwareVersion, (counts.get(softwareVersion) ?? 0) + 1)
  }
  return counts
}

/**
 * The version at which streams can go on already, as new ones begin there. Where there is none, a version that most runners have
 * left is not chosen; of the others the one with more copies, and then with more runners.
 */
function preferVersion (held: ReadonlyMap<string, number>, sizes: ReadonlyMap<string, number>): string | undefined {
  const maxSize = Math.max(...sizes.values())
  const versions = [...sizes].map(([softwareVersion, size]) => ({ softwareVersion, size, copies: held.get(softwareVersion) ?? 0 }))
  const mayGoOn = versions.filter(({ copies }) => copies >= ENOUGH_COPIES)
  const open = mayGoOn.length > 0 ? mayGoOn : versions.filter(({ size }) => size * 2 >= maxSize)
  const byCopies = (a: number, b: number) => Math.min(ENOUGH_COPIES, b) - Math.min(ENOUGH_COPIES, a)
  const [best] = open.sort((a, b) => byCopies(a.copies, b.copies) || b.size - a.size || (a.softwareVersion < b.softwareVersion ? 1 : -1))
  return best?.softwareVersion
}

function sumOf (counts: ReadonlyMap<string, number>): number {
  return [...counts.values()].reduce((sum, count) => sum + count, 0)
}
