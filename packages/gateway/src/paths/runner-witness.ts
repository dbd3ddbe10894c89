/** Asks other hosts whether a runner accepts their connections. */

/** What a host reports of a runner's address, after it opened a connection to it. */
export const WitnessAnswer = {
  /** The host can't tell, for example because it reaches no runner itself. */
  Unknown: 'unknown',
  Accepted: 'accepted',
  Refused: 'refused',
  Silent: 'silent'
} as const
export type WitnessAnswer = (typeof WitnessAnswer)[keyof typeof WitnessAnswer]

export abstract class RunnerWitness {
  /** Rejects if the host doesn't answer in time. */
  abstract check (peerAddress: string, runnerAddress: string, timeoutMs: number): Promise<WitnessAnswer>
}
