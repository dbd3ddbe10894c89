/** Whether a URL is an HTTP or HTTPS address of this machine: `localhost`, 127.0.0.0/8 or ::1. */
export function isLoopbackUrl (url: string): boolean {
  if (!URL.canParse(url)) return false
  const { hostname, protocol } = new URL(url)
  if (protocol !== 'http:' && protocol !== 'https:') return false
  return hostname === 'localhost' || hostname === '[::1]' || /^127\.\d{1,3}\.\d{1,3}\.\d{1,3}$/.test(hostname)
}
