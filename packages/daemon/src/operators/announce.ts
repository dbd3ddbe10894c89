import { request } from 'undici'
import type { Logger } from '@figloom/runtime'
import type { DaemonSettings } from '@figloom/settings'
import type { DaemonAddresses } from '../assembly/types.js'

const ANNOUNCE_TIMEOUT_MS = 2000

/** Registers this host with a host list that accepts registrations. Only logs a failure, since the list is just a hint. */
export async function announceHost (settings: DaemonSettings, addresses: DaemonAddresses, state: 'live' | 'leaving', logger: Logger): Promise<void> {
  const { name, availabilityZone } = settings.host
  const registration = { url: addresses.callerUrl, innerUrl: addresses.operatorUrl, availabilityZone, state }
  try {
    const answer = await request(`${settings.platform.hostListUrl.replace(/\/$/, '')}/hosts/${encodeURIComponent(name)}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(registration),
      signal: AbortSignal.timeout(ANNOUNCE_TIMEOUT_MS)
    })
    await answer.body.dump()
  } catch (error) {
    logger.warn('registration with the host list failed', { state, error: String(error) })
  }
}
