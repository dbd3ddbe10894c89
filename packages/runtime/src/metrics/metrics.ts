import { Registry, collectDefaultMetrics } from 'prom-client'

export { Counter, Gauge, Histogram, Registry } from 'prom-client'

/** Creates the registry of a process, with the library's process metrics and the host's labels. */
export function createRegistry (labels: Record<string, string>): Registry {
  const registry = new Registry()
  registry.setDefaultLabels(labels)
  collectDefaultMetrics({ register: registry })
  return registry
}
