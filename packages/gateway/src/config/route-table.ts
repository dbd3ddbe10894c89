/** Finds the route of a request by host and longest path prefix. */
import type { Route } from './types.js'

export class RouteTable {
  readonly #byHost = new Map<string, Map<string, Route>>()

  private constructor (routes: readonly Route[]) {
    for (const route of routes) {
      const host = route.host.toLowerCase()
      const prefixes = this.#byHost.get(host) ?? new Map<string, Route>()
      prefixes.set(route.pathPrefix, route)
      this.#byHost.set(host, prefixes)
    }
  }

  static create (routes: readonly Route[]): RouteTable {
    return new RouteTable(routes)
  }

  /**
   * Returns the route with the longest prefix of `target`.
   * @param hostHeader value of the Host header, with or without a port
   * @param target path and query as the caller sent them
   */
  find (hostHeader: string, target: string): Route | undefined {
    const prefixes = this.#byHost.get(stripPort(hostHeader).toLowerCase())
    if (prefixes === undefined) return undefined
    const path = pathOf(target)
    let end = path.lastIndexOf('/')
    while (end >= 0) {
      const route = prefixes.get(path.slice(0, end + 1))
      if (route !== undefined) return route
      end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)
    }
    return undefined
  }
}

function stripPort (host: string): string {
  return host.replace(/:\d+$/, '')
}

function pathOf (target: string): string {
  const query = target.indexOf('?')
  return query < 0 ? target : target.slice(0, query)
}
