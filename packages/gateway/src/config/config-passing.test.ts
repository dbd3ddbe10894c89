import t from 'tap'
import { ManualClock, silentLogger } from '@figloom/runtime'
import type { PermitReply } from '../limits/types.js'
import { PeerCalls, type AdapterReply, type HostReport } from '../members/types.js'
import { ConfigPassing } from './config-passing.js'
import { ConfigState } from './config-state.js'
import type { GatewayConfig } from './types.js'

/** Other hosts, which all have the same configuration or don't answer. */
class Peers extends PeerCalls {
  answer: string | undefined = '5'
  readonly asked: string[] = []

  override async exchange (): Promise<HostReport> {
    throw new Error('not used')
  }

  override async ensureAdapter (): Promise<AdapterReply> {
    throw new Error('not used')
  }

  override async takePermits (): Promise<PermitReply> {
    throw new Error('not used')
  }

  override async readConfig (peerAddress: string): Promise<Uint8Array> {
    this.asked.push(peerAddress)
    if (this.answer === undefined) throw new Error('no answer')
    return Buffer.from(this.answer)
  }
}

function createConfig (version: number): GatewayConfig {
  return { version, routes: [], services: new Map(), limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } }
}

function create () {
  const clock = ManualClock.create()
  const config = ConfigState.create()
  const peers = new Peers()
  const passing = ConfigPassing.create({
    clock,
    log: silentLogger,
    config,
    peers,
    decode: (encoded) => encoded.length > 1 ? undefined : createConfig(Number(Buffer.from(encoded).toString())),
    onConfig: (fetched, encoded) => { if (config.adopt(fetched, encoded)) passing.onAdopted() }
  })
  /** Hears of a version every 200 ms. */
  const hear = async (version: number, timeMs: number) => {
    for (let heardMs = 0; heardMs < timeMs; heardMs += 200) {
      passing.onVersion(version, 'peer')
      await clock.advance(200)
    }
  }
  return { config, peers, hear }
}

t.test('a host fetches what it could not read itself in time', async (t) => {
  const { config, peers, hear } = create()
  await hear(5, 600)
  t.same(peers.asked, [])
  await hear(5, 400)
  t.equal(config.version, 5)
  t.equal(Buffer.from(config.encoded).toString(), '5')
  await hear(5, 2_000)
  t.same(peers.asked, ['peer'])
})

t.test('a host that reads the newer version itself asks nobody', async (t) => {
  const { config, peers, hear } = create()
  await hear(5, 400)
  config.adopt(createConfig(5))
  await hear(5, 2_000)
  t.same(peers.asked, [])
})

t.test('a fetch that fails is tried again after a pause', async (t) => {
  const { config, peers, hear } = create()
  peers.answer = undefined
  await hear(5, 2_000)
  t.ok(peers.asked.length >= 2 && peers.asked.length <= 4, `${peers.asked.length} calls`)
  peers.answer = '5'
  await hear(5, 1_000)
  t.equal(config.version, 5)
})

t.test('what a host sends that can not be read, or is older, changes nothing', async (t) => {
  const { config, peers, hear } = create()
  config.adopt(createConfig(4))
  for (const answer of ['', 'xx', '3']) {
    peers.answer = answer
    await hear(5, 1_500)
    t.equal(config.version, 4)
  }
})
