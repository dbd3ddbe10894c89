/** Finds out whether an address accepts TCP connections, without sending a request. */

export const ProbeResult = {
  Accepted: 'accepted',
  /** The connection was refused or reset, or there is no route. */
  Refused: 'refused',
  /** Nothing answered in time. */
  Silent: 'silent'
} as const
export type ProbeResult = (typeof ProbeResult)[keyof typeof ProbeResult]

export abstract class ConnectProbe {
  /** @param address IP:PORT */
  abstract probe (address: string, timeoutMs: number): Promise<ProbeResult>
}
