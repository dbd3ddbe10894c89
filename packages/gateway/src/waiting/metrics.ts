/** Metrics of requests that wait for room at this host. */
import { Counter, Gauge, Histogram, type Registry } from '@figloom/runtime'

/** Why a request waits no longer. */
export const WaitEnd = {
  /** A runner had room. */
  Room: 'room',
  /** No room came in time. */
  Late: 'late',
  /** Others went before it, and the queue was full. */
  TurnedAway: 'turned away',
  /** Its caller left, or it was refused for another reason. */
  Gone: 'gone'
} as const
export type WaitEnd = (typeof WaitEnd)[keyof typeof WaitEnd]

export type WaitingMetrics = {
  waits: Counter<'end'>
  waitSeconds: Histogram
}

const BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 4]

/** @param waitingNow number of requests that wait now */
export function createWaitingMetrics (registry: Registry, waitingNow: () => number): WaitingMetrics {
  const registers = [registry]
  new Gauge({ name: 'figloom_gateway_waiting_for_room', help: 'Requests that wait at this host for room at full runners.', registers, collect () { this.set(waitingNow()) } }).set(0)
  return {
    waits: new Counter({ name: 'figloom_gateway_waits_for_room_total', help: 'Requests that waited for room at full runners, by why they wait no longer.', labelNames: ['end'], registers }),
    waitSeconds: new Histogram({ name: 'figloom_gateway_wait_for_room_seconds', help: 'Time that requests waited for room at full runners.', buckets: BUCKETS_S, registers })
  }
}
