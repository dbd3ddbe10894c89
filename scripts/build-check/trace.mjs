/** Extracts the files that a traced command executed and opened from the output of `strace -f -e trace=execve,open,openat`. */

const CALL = /\b(execve|open|openat|openat2)\(/
const PATH = /"((?:[^"\\]|\\.)*)"/
const SUCCESS = /= \d+(?:<.*>)?$/

/** Absolute paths that were executed or opened successfully, without duplicates, in order of first use. */
export function readOpenedPaths (trace) {
  const paths = joinResumed(trace.split('\n'))
    .filter((line) => CALL.test(line) && SUCCESS.test(line))
    .flatMap((line) => PATH.exec(line)?.[1] ?? [])
  return [...new Set(paths)].filter((path) => path.startsWith('/'))
}

/** Joins calls that strace split into two lines because another process made a call in between. */
function joinResumed (lines) {
  const unfinishedCalls = new Map()
  return lines.map((line) => {
    const process = /^\d+/.exec(line)?.[0]
    const resumed = /<\.\.\. \w+ resumed>(.*)$/.exec(line)
    if (resumed) return (unfinishedCalls.get(process) ?? '') + resumed[1]
    const unfinished = /^(.*) <unfinished \.\.\.>$/.exec(line)
    if (unfinished) unfinishedCalls.set(process, unfinished[1])
    return unfinished ? '' : line
  })
}
