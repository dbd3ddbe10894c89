/** Availability zones of the three entry hosts. */
export const ZONES = ['porto-a', 'porto-b', 'braga-c']

/** Names of a cluster's engines. */
export function engineNames (count) {
  return Array.from({ length: count }, (_, index) => `drafting-${String(index + 1).padStart(2, '0')}`)
}

/** `fields` are additional lines for the engine's settings. */
export function engineSettings (name, fields = '') {
  return `
[[standin]]
kind = "engine"
name = "${name}"
memoryMiB = 65536
${fields}
`
}

/** `engineFields` are additional lines for the settings of each engine. */
export function standinSettings (engineCount, engineFields = '') {
  const engines = engineNames(engineCount).map((name) => engineSettings(name, engineFields)).join('')
  return `
[[standin]]
kind = "log"
name = "log"

[[standin]]
kind = "hosts"
name = "hosts"

[[standin]]
kind = "service"
name = "booking"
${engines}`
}

/** `sections` are additional sections for the host's settings. */
export function daemonSettings (name, zone, urls, sections = '') {
  return `
[host]
name = "${name}"
availabilityZone = "${zone}"
region = "pt-norte"
callerAddress = "127.0.0.1:0"
operatorAddress = "127.0.0.1:0"

[platform]
logUrl = "${urls.log}"
hostListUrl = "${urls.hosts}"
hostListPollMs = 500
announceToHostList = true

[lookup]
ttlMs = 1000

[traces]
exporter = "none"
${sections}`
}

export function routesTable (betweenTokensTargetMs = 43) {
  return `
[[route]]
name = "tasting-notes"
model = "vinho-8b"
adapter = "douro"
version = "3"
pool = "drafting"
firstTokenTargetMs = 380
betweenTokensTargetMs = ${betweenTokensTargetMs}
priority = "interactive"

[[route]]
name = "bookings"
service = "booking"
pool = "booking"
answerTargetMs = 2000
idempotent = false
`
}

export function poolsTable (urls, engineCount) {
  const runners = engineNames(engineCount).map((name, index) => runner(name, ZONES[index % ZONES.length], urls[name], 65536)).join('')
  return `
[[pool]]
name = "drafting"
region = "pt-norte"
moveWeight = 0.2
${runners}
[[pool.model]]
name = "vinho-8b"
version = "3"
weightsMiB = 16384
kvReserveMiB = 8192
adapters = [{ name = "douro", sizeMiB = 64 }]

[[pool]]
name = "booking"
region = "pt-norte"
moveWeight = 0.2
${runner('booking-01', ZONES[0], urls.booking, 1024)}`
}

function runner (name, zone, url, memoryMiB) {
  return `
[[pool.runner]]
name = "${name}"
availabilityZone = "${zone}"
url = "${url}"
accelerators = 1
memoryMiB = ${memoryMiB}
checksFencing = true
`
}

/** Settings of the command line `figloom`. */
export function cliSettings (urls, operatorUrl) {
  return `
[operator]
name = "first-run"

[log]
url = "${urls.log}"

[daemon]
operatorUrls = ["${operatorUrl}"]
`
}
