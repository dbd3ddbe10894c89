/** Tables of a run. Each edit changes a latency target; every third edit also changes the version of a model. */
const MODELS = [['tasting-notes', 'vinho-8b'], ['labels', 'mesa-8b']]

/** Names of the routes to models. */
export const ROUTES = MODELS.map(([route]) => route)
/** Names of the routed models. */
export const ROUTED_MODELS = MODELS.map(([, model]) => model)

/** Version of a model that an edit routes to. */
export function versionOf (model, edit) {
  return model === 'mesa-8b' ? String(1 + Math.floor(edit / 3)) : '3'
}

export function routesTable (edit) {
  const models = MODELS.map(([route, model]) => `
[[route]]
name = "${route}"
model = "${model}"
version = "${versionOf(model, edit)}"
pool = "drafting"
firstTokenTargetMs = ${380 + edit}
betweenTokensTargetMs = 43
priority = "interactive"
`).join('')
  return `${models}
[[route]]
name = "bookings"
service = "booking"
pool = "booking"
answerTargetMs = 2000
idempotent = false
`
}

export function poolsTable (urls, engines, edit) {
  const runners = engines.map(({ name, zone, checksFencing }) => runner(name, zone, urls[name], 65536, checksFencing)).join('')
  const models = MODELS.map(([, model]) => `
[[pool.model]]
name = "${model}"
version = "${versionOf(model, edit)}"
weightsMiB = 16384
kvReserveMiB = 8192
`).join('')
  return `
[[pool]]
name = "drafting"
region = "pt-norte"
moveWeight = 0.2
${runners}${models}
[[pool]]
name = "booking"
region = "pt-norte"
moveWeight = 0.2
${runner('booking-01', 'porto-a', urls.booking, 1024, true)}`
}

function runner (name, zone, url, memoryMiB, checksFencing) {
  return `
[[pool.runner]]
name = "${name}"
availabilityZone = "${zone}"
url = "${url}"
accelerators = 1
memoryMiB = ${memoryMiB}
checksFencing = ${checksFencing}
`
}
