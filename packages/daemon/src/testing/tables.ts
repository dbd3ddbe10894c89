/** Tables that the daemon's tests publish as configuration. */
import type { Tables } from '@figloom/tables'

export const ZONES = ['porto-a', 'porto-b', 'braga-c']
export const REGION = 'pt-norte'
export const ENGINES = ['drafting-01', 'drafting-02']
export const SERVICE = 'booking-01'

/** Tables with a model route to two engines and a plain service. `urlOf` returns the URL of a stand-in. */
export function createTables (urlOf: (name: string) => string): Tables {
  const runner = (name: string, index: number) => ({
    name, availabilityZone: ZONES[index] ?? 'porto-a', url: urlOf(name), accelerators: 1, memoryMiB: 65_536, checksFencing: true
  })
  return {
    routes: [
      {
        kind: 'model',
        name: 'tasting-notes',
        model: 'vinho-8b',
        adapter: 'douro',
        version: '3',
        pool: 'drafting',
        firstTokenTargetMs: 10_000,
        betweenTokensTargetMs: 1000,
        priority: 'interactive'
      },
      { kind: 'service', name: 'bookings', service: 'booking', pool: 'booking', answerTargetMs: 10_000, idempotent: false }
    ],
    pools: [
      {
        name: 'drafting',
        region: REGION,
        moveWeight: 0.2,
        runners: ENGINES.map(runner),
        models: [{ name: 'vinho-8b', version: '3', weightsMiB: 16_384, kvReserveMiB: 8192, adapters: [{ name: 'douro', sizeMiB: 64 }] }]
      },
      { name: 'booking', region: REGION, moveWeight: 0.2, runners: [runner(SERVICE, 0)], models: [] }
    ]
  }
}
