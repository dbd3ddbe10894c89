import t from 'tap'
import { formatIssue } from '../toml/issue.js'
import { parseDaemonSettings } from './settings.js'

const HOST = `[host]
name = "entry-1"
availabilityZone = "porto-a"
region = "pt-norte"
callerAddress = "127.0.0.1:0"
operatorAddress = "127.0.0.1:0"
`
const PLATFORM = `[platform]
logUrl = "http://127.0.0.1:7001"
hostListUrl = "http://127.0.0.1:7002"
`

function messages (text: string): string[] {
  return parseDaemonSettings('f.toml', text).match(() => [], (issues) => issues.map(formatIssue))
}

t.test('missing keys take their defaults', async (t) => {
  const settings = parseDaemonSettings('f.toml', HOST + PLATFORM)._unsafeUnwrap()
  t.equal(settings.lookup.ttlMs, 5000)
  t.equal(settings.control.enabled, true)
  t.equal(settings.platform.configStream, 'config')
  t.equal(settings.host.callerUrl, undefined)
})

t.test('every constraint between keys', async (t) => {
  const text = HOST.replaceAll('127.0.0.1:0', '0.0.0.0:8080') +
    'callerUrl = "http://a:1"\noperatorUrl = "http://a:1"\n' + PLATFORM + `[shutdown]
graceMs = 5000
[lease]
durationMs = 2500
[health]
reportPollMs = 4500
peerExchangeMs = 3500
[traces]
exporter = "otlp"
`
  t.same(messages(text).map((line) => line.split(': ')[1]), [
    'host.operatorAddress', 'host.operatorUrl', 'shutdown.graceMs', 'lease.renewEveryMs', 'health.peerTimeoutMs',
    'health.unhealthyAfterMs', 'traces.otlpUrl'
  ])
})

t.test('address clash is reported along with errors in other keys', async (t) => {
  const text = HOST.replace('callerAddress = "127.0.0.1:0"', 'callerAddress = "0.0.0.0:80"')
    .replace('operatorAddress = "127.0.0.1:0"', 'operatorAddress = "127.0.0.1:80"') + '[lookup]\nttlSeconds = 5\nttlMs = "5"\n'
  t.same(messages(text), [
    'f.toml:1:1: platform: missing key',
    'f.toml:6:1: host.operatorAddress: clashes with host.callerAddress: both listeners would need the same port',
    'f.toml:8:1: lookup.ttlSeconds: unknown key (a quantity in seconds; check its name and unit)',
    'f.toml:9:1: lookup.ttlMs: expected number of milliseconds, got string "5"'
  ])
})

t.test('addresses that do not clash', async (t) => {
  for (const [caller, operator] of [['127.0.0.1:0', '127.0.0.1:0'], ['127.0.0.1:80', '127.0.0.2:80'], ['0.0.0.0:80', '0.0.0.0:81'], ['[::1]:80', '127.0.0.1:80']]) {
    const text = HOST.replace('callerAddress = "127.0.0.1:0"', `callerAddress = "${caller}"`)
      .replace('operatorAddress = "127.0.0.1:0"', `operatorAddress = "${operator}"`) + PLATFORM
    t.same(messages(text), [])
  }
})

t.test('invalid addresses and URLs', async (t) => {
  const text = HOST.replace('callerAddress = "127.0.0.1:0"', 'callerAddress = "127.0.0.1:99999"') + PLATFORM.replace('http:', 'ftp:')
  t.same(messages(text), [
    'f.toml:5:1: host.callerAddress: must be host:port', 'f.toml:8:1: platform.logUrl: must be an http:// or https:// URL'
  ])
})
