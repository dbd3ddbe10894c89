const RETRY_MS = 200
const MAX_ATTEMPTS = 150
/** Error code: an earlier call with the same idempotency key is still in progress. */
const KEY_IN_PROGRESS = 4005

/** Sends a lookup, a streamed generation, and a booking twice with the same idempotency key; prints the responses. */
export async function sendTour (cluster) {
  const entry = cluster.hosts[0].callerUrl
  const lookup = await getJson(`${entry}/v1/lookup?model=tasting-notes`)
  console.log('lookup    ', JSON.stringify(lookup))
  const url = lookup.hosts[0].url
  const stream = await sendUntilServed(() => fetch(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ model: 'tasting-notes', stream: true, max_tokens: 6, messages: [{ role: 'user', content: 'Three words on a Douro red?' }] })
  }))
  console.log('generation', await readStream(stream))
  const key = `booking-${Date.now()}`
  for (const host of [cluster.hosts[1], cluster.hosts[2]]) {
    const booking = await sendUntilServed(() => fetch(`${host.callerUrl}/v1/services/bookings/slots`, {
      method: 'POST',
      headers: { 'content-type': 'application/json', 'idempotency-key': key },
      body: JSON.stringify({ buyer: 'B-17', slot: '10:30' })
    }))
    const replayed = booking.headers.get('figloom-replayed') === 'true' ? ' (kept answer)' : ''
    console.log('booking   ', host.host, booking.status, (await booking.text()) + replayed)
  }
}

async function getJson (url) {
  const response = await fetch(url)
  if (!response.ok) throw new Error(`${url} responded with status ${response.status}: ${await response.text()}`)
  return response.json()
}

/** Retries while that is safe: on a first run the models are still loading. */
async function sendUntilServed (send) {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const response = await send()
    if (response.ok) return response
    const { error } = await response.json()
    const mayRetry = error.ran === 'no' || error.code === KEY_IN_PROGRESS
    if (!mayRetry) throw new Error(JSON.stringify(error))
    await new Promise((resolve) => setTimeout(resolve, RETRY_MS))
  }
  throw new Error('the request was not served in time')
}

async function readStream (response) {
  const text = await response.text()
  const events = text.split('\n\n').filter((event) => event.startsWith('data: ')).map((event) => event.slice('data: '.length))
  if (events.at(-1) !== '[DONE]') throw new Error(`the stream ended without [DONE]: ${text}`)
  return events.slice(0, -1).map((event) => JSON.parse(event).choices[0].delta.content ?? '').join('') + '[DONE]'
}
