const RETRY_MS = 200
const TRIES = 150
/** The answer to an earlier call with the same key is not kept yet. */
const KEY_IN_PROGRESS = 4005

/** Sends one lookup, one streamed generation and one keyed booking, twice, and prints the answers. */
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
  const answer = await fetch(url)
  if (!answer.ok) throw new Error(`${url} answered ${answer.status}: ${await answer.text()}`)
  return answer.json()
}

/** Sends again while that is safe: models are still being loaded on a first run. */
async function sendUntilServed (send) {
  for (let tries = 0; tries < TRIES; tries++) {
    const answer = await send()
    if (answer.ok) return answer
    const { error } = await answer.json()
    const mayRepeat = error.ran === 'no' || error.code === KEY_IN_PROGRESS
    if (!mayRepeat) throw new Error(JSON.stringify(error))
    await new Promise((resolve) => setTimeout(resolve, RETRY_MS))
  }
  throw new Error('not served in time')
}

async function readStream (answer) {
  const text = await answer.text()
  const events = text.split('\n\n').filter((event) => event.startsWith('data: ')).map((event) => event.slice('data: '.length))
  if (events.at(-1) !== '[DONE]') throw new Error(`the stream has no end: ${text}`)
  return events.slice(0, -1).map((event) => JSON.parse(event).choices[0].delta.content ?? '').join('') + '[DONE]'
}
