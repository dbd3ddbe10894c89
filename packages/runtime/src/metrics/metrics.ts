import { Registry, collectDefaultMetrics } from 'prom-client'

export { Counter, Gauge, Histogram, Registry } from 'prom-client'

/** Creates the metrics registry of a process, with the default process metrics of prom-client and the given labels. */
export function createRegistry (labels: Record<string, string>): Registry {
  const registry = new Registry()
  registry.setDefaultLabels(labels)
  collectDefaultMetrics({ register: registry })
  return registry
}
