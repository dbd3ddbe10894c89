import { SeededRandomSource, type RandomSource } from '@figloom/clients'
import type { LoadConfig, LoadRoute } from '../settings/schema.js'

/** A request to be sent `atMs` after the start of the load. */
export type PlannedRequest = {
  atMs: number
  route: LoadRoute
  /** Unique within the load. */
  id: string
  prompt: string
  stream: boolean
  /** Whether the call is sent a second time under the same key after its answer. */
  resend: boolean
}

const MS_PER_SECOND = 1_000
const BURST_SIZE = 10
const ALPHABET = 'abcdefghijklmnopqrstuvwxyz'

/** Plans up to `maxRequests` requests, sorted by time. The same settings give the same plan. */
export function planLoad (config: LoadConfig): PlannedRequest[] {
  const planned = config.route.flatMap((route, index) => planRoute(config, route, index))
  planned.sort((a, b) => a.atMs - b.atMs)
  return planned.slice(0, config.maxRequests)
}

function planRoute (config: LoadConfig, route: LoadRoute, index: number): PlannedRequest[] {
  const random = SeededRandomSource.create(config.seed * 1_000 + index)
  const times = arrivalTimes(route, config, random)
  return times.map((atMs, number) => {
    const id = `${config.seed}-${index}-${number}`
    return {
      atMs,
      route,
      id,
      prompt: createPrompt(route, id, random),
      stream: random.nextFraction() < route.streamRatio,
      resend: route.keyed && random.nextFraction() < route.repeatRatio
    }
  })
}

function arrivalTimes (route: LoadRoute, { durationMs, maxRequests }: LoadConfig, random: RandomSource): number[] {
  const meanMs = MS_PER_SECOND / route.requestsPerSecond
  const times: number[] = []
  for (let atMs = firstArrivalMs(route, meanMs, random); atMs < durationMs && times.length < maxRequests;) {
    if (route.arrivals === 'burst') times.push(...Array<number>(BURST_SIZE).fill(atMs))
    else times.push(atMs)
    atMs += gapMs(route, meanMs, random)
  }
  return times
}

function firstArrivalMs (route: LoadRoute, meanMs: number, random: RandomSource): number {
  return route.arrivals === 'poisson' ? gapMs(route, meanMs, random) : 0
}

function gapMs (route: LoadRoute, meanMs: number, random: RandomSource): number {
  if (route.arrivals === 'uniform') return meanMs
  if (route.arrivals === 'burst') return meanMs * BURST_SIZE
  return -Math.log(1 - random.nextFraction()) * meanMs
}

/** A prompt whose first half is one of the shared prefixes and whose rest is unique. */
function createPrompt (route: LoadRoute, id: string, random: RandomSource): string {
  const prefix = Math.floor(random.nextFraction() * route.sharedPrefixes)
  const prefixCharacters = Math.floor(route.promptCharacters / 2)
  const head = `p${prefix} `.repeat(Math.ceil(prefixCharacters / 3)).slice(0, prefixCharacters)
  const tail = ` ${id} `
  let body = ''
  for (let length = head.length + tail.length; length < route.promptCharacters; length += 1) {
    body += ALPHABET[Math.floor(random.nextFraction() * ALPHABET.length)]
  }
  return head + body + tail
}
