/** Paths of a host that reaches all runners itself. */
import { PathKind, RunnerPaths, type RunnerPath } from './types.js'

export class DirectPaths extends RunnerPaths {
  static create (): DirectPaths {
    return new DirectPaths()
  }

  override pathTo (): RunnerPath {
    return { kind: PathKind.Direct }
  }

  override reaches (): boolean {
    return true
  }

  override onSent (): () => void {
    return () => {}
  }

  override onReached (): void {}

  override onConnectFailed (): void {}

  override onHostFailed (): void {}

  override get isCutOff (): boolean {
    return false
  }
}
