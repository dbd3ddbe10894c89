/** Receives the errors that the message handler of a task throws. */
export type TaskErrorHandler = (error: unknown) => void

/**
 * An actor: it owns its state and handles one message at a time, in order of arrival. Other tasks interact with it only
 * through `post`.
 */
export abstract class Task<Message> {
  readonly #queue: Message[] = []
  #running = false
  #stopped = false

  protected constructor (private readonly onError: TaskErrorHandler) {}

  /** Handles one message; the next one is handled after the returned promise settles. */
  protected abstract handle (message: Message): Promise<void> | void

  /** Queues a message. Messages to a stopped task are dropped. */
  post (message: Message): void {
    if (this.#stopped) return
    this.#queue.push(message)
    if (!this.#running) this.#run()
  }

  /** Stops the task after the current message; queued messages are dropped. */
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
        this.onError(error)
      }
    }
    this.#running = false
  }
}
