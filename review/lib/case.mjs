/** Runs a case: writes its record, ends everything that it started, and exits with its verdict. */
import { createWriteStream } from 'node:fs'
import { fileURLToPath } from 'node:url'

const Verdict = { Held: 0, Broken: 1, CouldNotRun: 2 }
const MAX_RUN_MS = 110_000

/** Whether the case's disruption takes place. */
export const hasTrouble = process.env.TROUBLE !== '0'

export const sleep = (durationMs) => new Promise((resolve) => setTimeout(resolve, durationMs))

class Record {
  #file
  #startMs = performance.now()

  constructor (path) {
    this.#file = createWriteStream(path)
  }

  write (text) {
    this.#file.write(`${((performance.now() - this.#startMs) / 1_000).toFixed(3).padStart(8)} s  ${text}\n`)
  }

  close () {
    return new Promise((resolve) => this.#file.end(resolve))
  }
}

/**
 * @param caseUrl `import.meta.url` of the case, beside which the record is written
 * @param run called with the record and `onStop`, which takes steps for the end; returns the sentences that say what is broken
 */
export async function runCase (caseUrl, run) {
  const record = new Record(fileURLToPath(new URL('record.txt', caseUrl)))
  const stops = []
  record.write(`trouble: ${hasTrouble ? 'yes' : 'no'}`)
  let timer
  const timeout = new Promise((resolve, reject) => { timer = setTimeout(() => reject(new Error('the case took too long')), MAX_RUN_MS) })
  let verdict
  try {
    const broken = await Promise.race([run({ record, onStop: (stop) => stops.push(stop) }), timeout])
    for (const sentence of broken) record.write(`BROKEN: ${sentence}`)
    verdict = broken.length > 0 ? Verdict.Broken : Verdict.Held
  } catch (error) {
    record.write(`the case could not run: ${error.stack}`)
    console.error(error.message)
    verdict = Verdict.CouldNotRun
  }
  clearTimeout(timer)
  for (const stop of stops.reverse()) await Promise.resolve(stop()).catch(() => {})
  record.write(`verdict: ${['held', 'broken', 'could not run'][verdict]}`)
  await record.close()
  console.log(`${['held', 'broken', 'could not run'][verdict]} (trouble: ${hasTrouble ? 'yes' : 'no'})`)
  process.exit(verdict)
}
