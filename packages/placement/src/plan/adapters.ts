/** Plans adapters: every copy gets the adapters that routes name for its model; others are unloaded. */
import { CopyState, RunnerRole } from '@figloom/tables'
import type { Draft, DraftCopy } from './draft.js'

/** Loads and unloads adapters. Copies of models that no copy serves yet come first. */
export function planAdapters (draft: Draft): void {
  const copies = draft.runners.filter((runner) => runner.available).flatMap((runner) => [...runner.copies.values()])
  const rankOf = (copy: DraftCopy) => draft.copiesOf(copy.key).some((other) => other.serving) ? 1 : 0
  copies.sort((a, b) => rankOf(a) - rankOf(b))
  for (const copy of copies) {
    const routed = draft.routed(copy.key)
    if (!copy.resident || copy.source === undefined || routed === undefined) continue
    const present = new Set(copy.source.adapters.map(({ name }) => name))
    for (const adapter of routed.adapters) if (!present.has(adapter.name)) draft.loadAdapter(copy, adapter, 'adapter is routed')
    const wanted = new Set(routed.adapters.map(({ name }) => name))
    const unwanted = copy.source.adapters.filter(({ name, state }) => state === CopyState.Resident && !wanted.has(name))
    for (const { name } of unwanted) draft.unloadAdapter(copy, name, 'no route')
  }
}

/** Gives a runner both roles if its single role would leave a model without prefill or without decode. */
export function repairRoles (draft: Draft): void {
  for (const { key } of draft.models) {
    const serving = draft.copiesOf(key).filter((copy) => copy.serving)
    const roles = new Set(serving.map((copy) => copy.runner.view.role))
    const [only] = serving
    if (only === undefined || roles.has(RunnerRole.Both) || roles.size > 1) continue
    draft.setRole(only.runner, RunnerRole.Both, `${key} has no runner for the other role`)
  }
}
