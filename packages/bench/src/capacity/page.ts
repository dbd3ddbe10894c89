/** Renders the tables of docs/CAPACITY.md. */
import type { Fit } from './fit.js'
import { controlRoles, dataPath, logAppends, sumRoles, type Slopes } from './roles.js'
import { CONTROL_LIMITS } from './size.js'

/** Text between the section markers of the page. */
export function renderCapacity (slopes: Slopes): string {
  const roles = controlRoles(slopes)
  const appends = logAppends(slopes)
  const path = dataPath(slopes)
  const total = appends.reduce((sum, { perSecond }) => sum + perSecond, 0)
  return [
    '### Measured slopes', '',
    '| what | points (size: cost) | base | slope |', '| --- | --- | --- | --- |',
    ...fitRows(slopes).map(([what, fit]) => `| ${what} | ${fit.points.map(({ size, cost }) => `${size}: ${formatFigure(cost)}`).join('; ')} | ${formatFigure(fit.base)} | ${formatFigure(fit.slope)} |`),
    '',
    '### Control at that size', '',
    '| role | on | state | memory, MiB | core, % | bytes/s | mechanism |', '| --- | --- | --- | --- | --- | --- | --- |',
    ...roles.map((role) => `| ${role.name} | ${role.hosts} | ${role.state} | ${formatFigure(role.memoryMiB)} | ${formatFigure(role.corePercent)} | ${formatFigure(role.bytesPerSecond)} | ${role.mechanism} |`),
    '',
    `| host | memory, MiB (at most ${CONTROL_LIMITS.memoryMiB}) | core, % (at most ${CONTROL_LIMITS.corePercent}) | bytes/s (at most ${CONTROL_LIMITS.bytesPerSecond}) |`, '| --- | --- | --- | --- |',
    ...sumRoles(roles).map((sum) => `| ${sum.name} | ${formatWithLimit(sum.memoryMiB, CONTROL_LIMITS.memoryMiB)} | ${formatWithLimit(sum.corePercent, CONTROL_LIMITS.corePercent)} | ${formatWithLimit(sum.bytesPerSecond, CONTROL_LIMITS.bytesPerSecond)} |`),
    '',
    '### Appends to the one log', '',
    '| what | appends/s | mechanism |', '| --- | --- | --- |',
    ...appends.map(({ what, perSecond, mechanism }) => `| ${what} | ${formatFigure(perSecond)} | ${mechanism} |`),
    `| all (several hundred allowed; ${CONTROL_LIMITS.appendsPerSecond} taken here) | ${formatWithLimit(total, CONTROL_LIMITS.appendsPerSecond)} | |`,
    '',
    '### Request path of one host (not control)', '',
    '| requests/s | tokens/s | streams in flight | core, % | memory of streams, MiB |', '| --- | --- | --- | --- | --- |',
    `| ${formatFigure(path.requestsPerSecond)} | ${formatFigure(path.tokensPerSecond)} | ${formatFigure(path.streams)} | ${formatFigure(path.corePercent)} | ${path.memoryMiB > 0 ? formatFigure(path.memoryMiB) : 'within the noise'} |`
  ].join('\n')
}

function fitRows ({ configuration, membership, cell, daemon }: Slopes): [string, Fit][] {
  return [
    ['edit of a runner\'s row, µs, by runners', configuration.editUs],
    ['state of the configuration, MiB, by runners', configuration.stateMiB],
    ['snapshot, KiB, by runners', configuration.snapshotKiB],
    ['start from a snapshot, ms, by runners', configuration.startMs],
    ['view of membership, µs, by hosts', membership.viewUs],
    ['lookup, µs, by hosts', membership.lookupUs],
    ['host list, bytes, by hosts', membership.listBytes],
    ['message of an exchange, bytes, by runners of the cell', membership.messageBytes],
    ['exchange, µs, by runners of the cell', membership.exchangeUs],
    ['holder at rest, µs a second, by runners of the cell (stand-ins included)', cell.holderUsPerS],
    ['follower at rest, µs a second, by runners of the cell', cell.followerUsPerS],
    ['reports to the holder, bytes a second, by runners of the cell', cell.reportBytesPerS],
    ['streamed request, µs of processor time, by tokens', daemon.requestUs],
    ['resident memory of a daemon, MiB, by streams in flight', daemon.memoryMiB]
  ]
}

function formatWithLimit (value: number, limit: number): string {
  return value <= limit ? formatFigure(value) : `**${formatFigure(value)}, over**`
}

function formatFigure (value: number): string {
  if (Math.abs(value) >= 1000) return Math.round(value).toLocaleString('en')
  return String(Number(value.toPrecision(3)))
}
