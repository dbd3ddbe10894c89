/** Reads what a traced command ran and opened from the output of `strace -f -e trace=execve,open,openat`. */

const CALL = /\b(execve|open|openat|openat2)\(/
const PATH = /"((?:[^"\\]|\\.)*)"/
const SUCCESS = /= \d+(?:<.*>)?$/

/** Absolute paths that were run or opened with success, each once, in order of appearance. */
export function readOpenedPaths (trace) {
  const paths = joinResumed(trace.split('\n'))
    .filter((line) => CALL.test(line) && SUCCESS.test(line))
    .flatMap((line) => PATH.exec(line)?.[1] ?? [])
  return [...new Set(paths)].filter((path) => path.startsWith('/'))
}

/** Joins a call that strace printed in two parts since another process came between them. */
function joinResumed (lines) {
  const pending = new Map()
  return lines.map((line) => {
    const process = /^\d+/.exec(line)?.[0]
    const resumed = /<\.\.\. \w+ resumed>(.*)$/.exec(line)
    if (resumed) return (pending.get(process) ?? '') + resumed[1]
    const unfinished = /^(.*) <unfinished \.\.\.>$/.exec(line)
    if (unfinished) pending.set(process, unfinished[1])
    return unfinished ? '' : line
  })
}
