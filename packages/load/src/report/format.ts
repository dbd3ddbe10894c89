import type { LoadReport, Quantiles, RouteReport } from './types.js'

/** Formats a report as a short text. */
export function formatReport (report: LoadReport): string {
  const routes = report.routes.length > 1 ? [...report.routes, report.total] : report.routes
  const lines = routes.flatMap(formatRoute)
  lines.push(`${report.planned} planned, ${report.notSent} not sent, ${report.requestsPerSecond.toFixed(1)} requests/s over ${(report.elapsedMs / 1_000).toFixed(1)} s, seed ${report.seed}`)
  if (report.runs !== undefined) lines.push(`keys that ran twice: ${report.runs.ranTwice}, keys that ran although refused: ${report.runs.ranThoughRefused}`)
  if (report.moves !== undefined) lines.push(`engine operations: ${Object.entries(report.moves).map(([name, value]) => `${name} ${value}`).join(', ')}`)
  for (const url of report.unreadStats) lines.push(`statistics not available: ${url}`)
  return lines.join('\n') + '\n'
}

function formatRoute (route: RouteReport): string[] {
  const lines = [`${route.name}: ${route.answered} of ${route.sent} answered, ${(route.attainmentRatio * 100).toFixed(1)}% within target, ${route.foreign} foreign, ${route.partial} partial`]
  if (route.firstToken.count > 0) lines.push(`  first token ${formatQuantiles(route.firstToken)}; between tokens ${formatQuantiles(route.betweenTokens)}`)
  if (route.answer.count > 0) lines.push(`  answer ${formatQuantiles(route.answer)}`)
  for (const [code, count] of Object.entries(route.refusals)) lines.push(`  refused ${code}: ${count}`)
  for (const [reason, count] of Object.entries(route.failures)) lines.push(`  failed ${reason}: ${count}`)
  return lines
}

function formatQuantiles ({ p50Ms, p95Ms, p99Ms }: Quantiles): string {
  return `p50 ${p50Ms.toFixed(1)} p95 ${p95Ms.toFixed(1)} p99 ${p99Ms.toFixed(1)} ms`
}
