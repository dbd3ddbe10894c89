/** The orders to one process of a runner, which are sent one after another, and what is known of that process. */
import type { Logger } from '@figloom/runtime'
import type { RunnerEntry } from '../runners/types.js'
import { RunnerInventory } from './runner-inventory.js'

export class RunnerQueue {
  readonly inventory: RunnerInventory
  readonly startedUnixMs: number | undefined
  /** The runner's entry states that it leaves. */
  draining: boolean
  /** Expected time of the model order in progress; 0 where it is not known. */
  expectedMs = 0
  lastReportMs = -Infinity
  isReadingReport = false
  #lastTask: Promise<unknown> = Promise.resolve()
  /** Tasks in the queue, including the one that runs. */
  #queuedTasks = 0

  private constructor ({ id, startedUnixMs, draining }: RunnerEntry, private readonly log: Logger) {
    this.inventory = RunnerInventory.create(id)
    this.startedUnixMs = startedUnixMs
    this.draining = draining
  }

  static create (entry: RunnerEntry, log: Logger): RunnerQueue {
    return new RunnerQueue(entry, log)
  }

  /** Whether an order is under way or waits. */
  get isBusy (): boolean {
    return this.inventory.pending !== undefined || this.#queuedTasks > 0
  }

  /** Runs a task after those that are in the queue. */
  enqueue<Value> (task: () => Promise<Value>): Promise<Value> {
    this.#queuedTasks += 1
    const result = this.#lastTask.then(task).finally(() => { this.#queuedTasks -= 1 })
    this.#lastTask = result.catch((error: Error) => {
      this.log.warn('order failed', { runner: this.inventory.runnerId, reason: error.message })
    })
    return result
  }

  /** The same for a task whose result nobody awaits; a failure is logged. */
  enqueueDetached<Value> (task: () => Promise<Value>): void {
    this.enqueue(task).catch(() => undefined)
  }
}
