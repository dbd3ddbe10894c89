import { spawn } from 'node:child_process'
import { createInterface } from 'node:readline'

/** Starts a program of the workspace and resolves with it and its first line of output, parsed. */
export function startProgram (name, main, args, options = {}) {
  const child = spawn(process.execPath, [main, ...args], { stdio: ['ignore', 'pipe', options.log ?? 'ignore'] })
  const exited = new Promise((resolve) => child.once('exit', resolve))
  return new Promise((resolve, reject) => {
    const lines = createInterface({ input: child.stdout })
    lines.once('line', (line) => resolve({ name, child, exited, ready: JSON.parse(line) }))
    exited.then((code) => reject(new Error(`${name} ended with ${code} before it was ready`)))
  })
}

/** Asks programs to stop and waits until they have. */
export async function stopPrograms (programs, signal = 'SIGTERM') {
  for (const { child } of programs) if (child.exitCode === null) child.kill(signal)
  await Promise.all(programs.map(({ exited }) => exited))
}
