import { request } from 'undici'
import type { Logger } from '@figloom/runtime'
import type { DaemonSettings } from '@figloom/settings'
import type { DaemonAddresses } from '../assembly/types.js'

const ANNOUNCE_TIMEOUT_MS = 2000

/** Registers this host in a host list that takes registrations. A failure is logged; the list is a hint only. */
export async function announceHost (settings: DaemonSettings, addresses: DaemonAddresses, state: 'live' | 'leaving', logger: Logger): Promise<void> {
  const { name, availabilityZone } = settings.host
  const entry = { url: addresses.callerUrl, innerUrl: addresses.operatorUrl, availabilityZone, state }
  try {
    const answer = await request(`${settings.platform.hostListUrl.replace(/\/$/, '')}/hosts/${encodeURIComponent(name)}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(entry),
      signal: AbortSignal.timeout(ANNOUNCE_TIMEOUT_MS)
    })
    await answer.body.dump()
  } catch (error) {
    logger.warn('could not register in the host list', { state, error: String(error) })
  }
}
