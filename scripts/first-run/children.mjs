import { spawn } from 'node:child_process'
import { createInterface } from 'node:readline'

/** Starts a program of the workspace; resolves with the process and its first line of output, parsed as JSON, as `ready`. */
export function startProgram (name, main, args, options = {}) {
  const child = spawn(process.execPath, [main, ...args], { stdio: ['ignore', 'pipe', options.log ?? 'ignore'] })
  const exited = new Promise((resolve) => child.once('exit', resolve))
  return new Promise((resolve, reject) => {
    const lines = createInterface({ input: child.stdout })
    lines.once('line', (line) => resolve({ name, child, exited, ready: JSON.parse(line) }))
    exited.then((code) => reject(new Error(`${name} exited with code ${code} before it was ready`)))
  })
}

/** Sends a signal to programs and waits until they have exited. */
export async function stopPrograms (programs, signal = 'SIGTERM') {
  for (const { child } of programs) if (child.exitCode === null) child.kill(signal)
  await Promise.all(programs.map(({ exited }) => exited))
}
