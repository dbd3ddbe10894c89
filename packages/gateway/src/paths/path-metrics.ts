/** Counters of paths to runners. */
import { Counter, type Registry } from '@figloom/runtime'

export type PathMetrics = {
  broken: Counter
  restored: Counter
  probes: Counter<'result'>
  checks: Counter<'result'>
  cutOffs: Counter
}

export function createPathMetrics (registry: Registry): PathMetrics {
  const registers = [registry]
  return {
    broken: new Counter({ name: 'figloom_gateway_paths_broken_total', help: 'Paths to runners that broke while other hosts reached the runners.', registers }),
    restored: new Counter({ name: 'figloom_gateway_paths_restored_total', help: 'Broken paths to runners that are used directly again.', registers }),
    probes: new Counter({ name: 'figloom_gateway_path_probes_total', help: 'Connections without a request that were opened to runners, by result.', labelNames: ['result'], registers }),
    checks: new Counter({ name: 'figloom_gateway_path_checks_total', help: 'Runners of which other hosts were asked whether they reach them, by result.', labelNames: ['result'], registers }),
    cutOffs: new Counter({ name: 'figloom_gateway_cut_offs_total', help: 'Times that this host was found to be cut off from runners.', registers })
  }
}
