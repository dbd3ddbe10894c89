/** Injects the faults of a run: concurrent loops with random faults, drawn from the seed of the run. */
import { postJson, sleep } from './http.mjs'

const CELL = 'drafting'
const TAKEOVER_TIMEOUT_MS = 30_000
/** No other fault is injected from this long before the graceful shutdown until the host has restarted. */
const QUIET_MARGIN_MS = 6000
const ENGINE_FAULTS = [
  { cutAnswers: 4, cutAfterTokens: 5 }, { crossAnswers: 4 }, { resetAfterRead: 4 }, { resetBeforeRead: 4 },
  { loseOrders: 2 }, { delayOrders: 2, orderDelayMs: 9000 }, { loseOrderAnswers: 2 }, { repeatOrders: 2, orderRepeatMs: 4000 },
  { delayAnswers: 4, answerDelayMs: 800 }
]

export class Faults {
  edit = 1
  /** The graceful shutdown in progress, if any: until it is over, no stream may be cut. */
  shutdown

  constructor (cluster, record, monitor, random) {
    Object.assign(this, { cluster, record, monitor, random })
  }

  /** Runs all loops until `endMs` of the monotonic clock. */
  async run (endMs) {
    const startMs = performance.now()
    this.endMs = endMs
    this.quietFromMs = startMs + (endMs - startMs) * 0.5
    this.quietUntilMs = Infinity
    await Promise.all([
      this.#runPeriodically(() => this.#disruptHost(), 13_000, 4000, this.#sharedRandom()),
      this.#runPeriodically(() => this.#disruptEngine(), 13_000, 4000, this.#sharedRandom()),
      this.#runPeriodically(() => this.#injectFault(), 3500, 2000, this.#sharedRandom()),
      this.#publishPeriodically(),
      this.#shutDownOnce()
    ])
  }

  #sharedRandom () {
    return this.random
  }

  async #runPeriodically (disrupt, minPauseMs, spreadMs) {
    for (;;) {
      const pauseMs = minPauseMs + this.random() * spreadMs
      if (performance.now() + pauseMs > this.endMs) return
      await sleep(pauseMs)
      while (this.#isQuiet()) await sleep(100)
      if (performance.now() < this.endMs) await disrupt()
    }
  }

  #isQuiet () {
    const nowMs = performance.now()
    return nowMs > this.quietFromMs - QUIET_MARGIN_MS && nowMs < this.quietUntilMs
  }

  #pick (list) {
    return list[Math.floor(this.random() * list.length)]
  }

  async #disruptHost () {
    const draw = this.random()
    const holder = this.cluster.hosts.find(({ name }) => name === this.monitor.holderOf(CELL))
    const host = draw < 0.65 && holder !== undefined ? holder : this.#pick(this.cluster.hosts)
    const isHolder = host === holder
    const frozenMs = draw < 0.3 ? 9000 : 3000
    if (this.random() < 0.6) {
      this.record.event('kill host', host.name, { isHolder })
      const startMs = performance.now()
      await this.cluster.kill(host)
      this.monitor.statuses.delete(host.name)
      if (isHolder) await this.#timeTakeover(host, startMs)
      else await sleep(2000)
      await this.cluster.restart(host)
      this.record.event('restarted', host.name)
    } else {
      this.record.event('freeze host', host.name, { isHolder, frozenMs })
      this.monitor.statuses.delete(host.name)
      this.cluster.freeze(host)
      await sleep(frozenMs)
      this.cluster.thaw(host)
      this.record.event('thawed', host.name)
    }
  }

  async #timeTakeover (host, startMs) {
    while (performance.now() - startMs < TAKEOVER_TIMEOUT_MS) {
      if (this.monitor.holderOf(CELL, host.name) !== undefined) {
        this.record.takeoverMs.push(performance.now() - startMs)
        return
      }
      await sleep(50)
    }
    this.record.takeoverMs.push(Infinity)
    this.record.event('no takeover in 30 s', host.name)
  }

  async #disruptEngine () {
    const engine = this.#pick(this.cluster.engines)
    const draw = this.random()
    if (draw < 0.45) {
      this.record.event('kill engine', engine.name)
      await this.monitor.readStats(engine)
      await this.cluster.kill(engine)
      await sleep(1000 + this.random() * 3000)
      await this.cluster.restart(engine)
      this.record.event('restarted', engine.name)
    } else if (draw < 0.75) {
      this.record.event('freeze engine', engine.name)
      this.cluster.freeze(engine)
      await sleep(3000 + this.random() * 3000)
      this.cluster.thaw(engine)
      this.record.event('thawed', engine.name)
    } else await this.#announceLeaving(engine)
  }

  async #announceLeaving (engine) {
    const entry = `${this.cluster.urls.hosts}/hosts/${engine.name}`
    this.record.event('leaving', engine.name)
    await postJson(entry, { url: this.cluster.urls[engine.name], availabilityZone: engine.zone, state: 'leaving' })
    this.monitor.setLeaving(engine.name)
    await sleep(11_000)
    this.monitor.setLeaving(undefined)
    await postJson(entry, {}, { method: 'DELETE' })
    this.record.event('back', engine.name)
  }

  async #injectFault () {
    const { urls, engines } = this.cluster
    const draw = this.random()
    const target = this.#pick(engines)
    if (draw < 0.65) return this.#setFault(target.name, this.#pick(ENGINE_FAULTS))
    if (draw < 0.75) return this.#setFault('booking', { resetAfterRun: 3 })
    if (draw < 0.83) return this.#setFault('log', { loseAnswers: 5 })
    const downMs = 2000 + this.random() * 3000
    const isDown = draw < 0.92
    await this.#setFault('log', isDown ? { down: true } : { delayMs: 700 })
    await sleep(downMs)
    await postJson(`${urls.log}/faults`, { down: false, delayMs: 0 })
    this.record.event(isDown ? 'log up' : 'log quick', 'log', { afterMs: Math.round(downMs) })
  }

  async #setFault (name, fault) {
    this.record.event(`fault ${JSON.stringify(fault)}`, name)
    await postJson(`${this.cluster.urls[name]}/faults`, fault).catch(() => this.record.event('fault not set', name))
  }

  async #publishPeriodically () {
    while (performance.now() + 10_000 < this.endMs) {
      await sleep(10_000)
      this.edit += 1
      const result = await this.cluster.publish(this.edit)
      this.record.count('publications', result.outcome)
      this.record.event(`publish ${result.outcome}`, String(result.version ?? ''))
      if (result.outcome === 'accepted') this.monitor.expectInForce(result.version, this.edit)
      if (result.outcome === 'invalid') console.error(JSON.stringify(result))
    }
  }

  async #shutDownOnce () {
    await sleep(this.quietFromMs - performance.now())
    for (const name of ['log', ...this.cluster.engines.map((engine) => engine.name), 'booking']) await this.#clearFaults(name)
    await sleep(500)
    const host = this.#pick(this.cluster.hosts)
    this.record.event('SIGTERM', host.name)
    this.shutdown = { host: host.name, fromMs: performance.now() }
    const code = await this.cluster.kill(host, 'SIGTERM')
    const elapsedMs = Math.round(performance.now() - this.shutdown.fromMs)
    await sleep(1000)
    this.shutdown = undefined
    this.record.event('ended', host.name, { code, tookMs: elapsedMs })
    if (code !== 0) this.record.recordViolation(7, { host: host.name, code })
    await this.cluster.restart(host)
    this.record.event('restarted', host.name)
    this.quietUntilMs = performance.now()
  }

  /** Clears faults that were set for a number of requests and have not been used up. */
  #clearFaults (name) {
    const faults = name === 'log'
      ? { loseAnswers: 0 }
      : name === 'booking' ? { resetAfterRun: 0 } : Object.fromEntries(ENGINE_FAULTS.flatMap((fault) => Object.keys(fault)).filter((key) => !key.endsWith('Ms') && key !== 'cutAfterTokens').map((key) => [key, 0]))
    return postJson(`${this.cluster.urls[name]}/faults`, faults).catch(() => undefined)
  }
}
