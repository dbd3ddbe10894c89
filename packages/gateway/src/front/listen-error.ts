/** A listener that could not be opened. */
export class ListenError extends Error {
  private constructor (
    message: string,
    /** IP:PORT */
    readonly address: string,
    /** The system's code, such as EADDRINUSE. */
    readonly systemCode: string
  ) {
    super(message)
  }

  static create (address: string, cause: NodeJS.ErrnoException): ListenError {
    return new ListenError(cause.message, address, cause.code ?? cause.name)
  }
}
