/** Handles what a task's own message handler throws. */
export type TaskFault = (error: unknown) => void

/**
 * A task owns its state and handles one message at a time, in order of arrival.
 * Other tasks reach it only through `post`.
 */
export abstract class Task<Message> {
  readonly #queue: Message[] = []
  #running = false
  #stopped = false

  protected constructor (private readonly onFault: TaskFault) {}

  /** Handles one message; the next waits until the promise settles. */
  protected abstract handle (message: Message): Promise<void> | void

  /** Queues a message. Messages to a stopped task are dropped. */
  post (message: Message): void {
    if (this.#stopped) return
    this.#queue.push(message)
    if (!this.#running) this.#run()
  }

  /** Stops the task after the message at hand; queued messages are dropped. */
  stop (): void {
    this.#stopped = true
    this.#queue.length = 0
  }

  get stopped (): boolean {
    return this.#stopped
  }

  async #run (): Promise<void> {
    this.#running = true
    for (let message = this.#queue.shift(); message !== undefined; message = this.#queue.shift()) {
      try {
        await this.handle(message)
      } catch (error) {
        this.onFault(error)
      }
    }
    this.#running = false
  }
}
