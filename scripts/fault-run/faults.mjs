/** The faults of a run, drawn from its seed, in lanes that run side by side. */
import { postJson, sleep } from './http.mjs'

const CELL = 'drafting'
const TAKEOVER_LIMIT_MS = 30_000
/** Time before and during the graceful shutdown in which nothing else is set. */
const QUIET_MS = 6000
const ENGINE_FAULTS = [
  { cutAnswers: 4, cutAfterTokens: 5 }, { crossAnswers: 4 }, { resetAfterRead: 4 }, { resetBeforeRead: 4 },
  { loseOrders: 2 }, { delayOrders: 2, orderDelayMs: 9000 }, { loseOrderAnswers: 2 }, { repeatOrders: 2, orderRepeatMs: 4000 },
  { delayAnswers: 4, answerDelayMs: 800 }
]

export class Faults {
  edit = 1
  /** Graceful shutdown under way; set while streams must not be cut. */
  shutdown

  constructor (cluster, record, watch, random) {
    Object.assign(this, { cluster, record, watch, random })
  }

  /** Runs all lanes until `endMs` of the monotonic clock. */
  async run (endMs) {
    const startMs = performance.now()
    this.endMs = endMs
    this.quietFromMs = startMs + (endMs - startMs) * 0.5
    this.quietUntilMs = Infinity
    await Promise.all([
      this.#lane(() => this.#hitHost(), 13_000, 4000, this.#createRandom()),
      this.#lane(() => this.#hitEngine(), 13_000, 4000, this.#createRandom()),
      this.#lane(() => this.#cut(), 3500, 2000, this.#createRandom()),
      this.#publishLane(),
      this.#shutDownOnce()
    ])
  }

  #createRandom () {
    return this.random
  }

  async #lane (act, everyMs, spreadMs) {
    for (;;) {
      const pauseMs = everyMs + this.random() * spreadMs
      if (performance.now() + pauseMs > this.endMs) return
      await sleep(pauseMs)
      while (this.#isQuiet()) await sleep(100)
      if (performance.now() < this.endMs) await act()
    }
  }

  #isQuiet () {
    const nowMs = performance.now()
    return nowMs > this.quietFromMs - QUIET_MS && nowMs < this.quietUntilMs
  }

  #pick (list) {
    return list[Math.floor(this.random() * list.length)]
  }

  async #hitHost () {
    const draw = this.random()
    const holder = this.cluster.hosts.find(({ name }) => name === this.watch.holderOf(CELL))
    const host = draw < 0.65 && holder !== undefined ? holder : this.#pick(this.cluster.hosts)
    const isHolder = host === holder
    const frozenMs = draw < 0.3 ? 9000 : 3000
    if (this.random() < 0.6) {
      this.record.event('kill host', host.name, { isHolder })
      const hitMs = performance.now()
      await this.cluster.kill(host)
      this.watch.statuses.delete(host.name)
      if (isHolder) await this.#timeTakeover(host, hitMs)
      else await sleep(2000)
      await this.cluster.restart(host)
      this.record.event('restarted', host.name)
    } else {
      this.record.event('freeze host', host.name, { isHolder, frozenMs })
      this.watch.statuses.delete(host.name)
      this.cluster.freeze(host)
      await sleep(frozenMs)
      this.cluster.thaw(host)
      this.record.event('thawed', host.name)
    }
  }

  async #timeTakeover (host, hitMs) {
    while (performance.now() - hitMs < TAKEOVER_LIMIT_MS) {
      if (this.watch.holderOf(CELL, host.name) !== undefined) {
        this.record.takeoverMs.push(performance.now() - hitMs)
        return
      }
      await sleep(50)
    }
    this.record.takeoverMs.push(Infinity)
    this.record.event('no takeover in 30 s', host.name)
  }

  async #hitEngine () {
    const engine = this.#pick(this.cluster.engines)
    const draw = this.random()
    if (draw < 0.45) {
      this.record.event('kill engine', engine.name)
      await this.watch.readStats(engine)
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
    } else await this.#leave(engine)
  }

  async #leave (engine) {
    const entry = `${this.cluster.urls.hosts}/hosts/${engine.name}`
    this.record.event('leaving', engine.name)
    await postJson(entry, { url: this.cluster.urls[engine.name], availabilityZone: engine.zone, state: 'leaving' })
    this.watch.setLeaving(engine.name)
    await sleep(11_000)
    this.watch.setLeaving(undefined)
    await postJson(entry, {}, { method: 'DELETE' })
    this.record.event('back', engine.name)
  }

  async #cut () {
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

  async #publishLane () {
    while (performance.now() + 10_000 < this.endMs) {
      await sleep(10_000)
      this.edit += 1
      const answer = await this.cluster.publish(this.edit)
      this.record.count('publications', answer.outcome)
      this.record.event(`publish ${answer.outcome}`, String(answer.version ?? ''))
      if (answer.outcome === 'accepted') this.watch.accepted(answer.version, this.edit)
      if (answer.outcome === 'invalid') console.error(JSON.stringify(answer))
    }
  }

  async #shutDownOnce () {
    await sleep(this.quietFromMs - performance.now())
    for (const name of ['log', ...this.cluster.engines.map((engine) => engine.name), 'booking']) await this.#clear(name)
    await sleep(500)
    const host = this.#pick(this.cluster.hosts)
    this.record.event('SIGTERM', host.name)
    this.shutdown = { host: host.name, fromMs: performance.now() }
    const code = await this.cluster.kill(host, 'SIGTERM')
    const tookMs = Math.round(performance.now() - this.shutdown.fromMs)
    await sleep(1000)
    this.shutdown = undefined
    this.record.event('ended', host.name, { code, tookMs })
    if (code !== 0) this.record.break(7, { host: host.name, code })
    await this.cluster.restart(host)
    this.record.event('restarted', host.name)
    this.quietUntilMs = performance.now()
  }

  /** Takes back counted faults that have not hit yet. */
  #clear (name) {
    const faults = name === 'log'
      ? { loseAnswers: 0 }
      : name === 'booking' ? { resetAfterRun: 0 } : Object.fromEntries(ENGINE_FAULTS.flatMap((fault) => Object.keys(fault)).filter((key) => !key.endsWith('Ms') && key !== 'cutAfterTokens').map((key) => [key, 0]))
    return postJson(`${this.cluster.urls[name]}/faults`, faults).catch(() => undefined)
  }
}
