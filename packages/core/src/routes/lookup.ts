import type { ClientLimits, Route, RoutesDocument } from './schema.js'

/** Routes of one version, indexed for lookups. */
export type RoutesIndex = {
  revision: number
  limits: ClientLimits
  /** Route for a host and a path: the one with the longest matching prefix. */
  lookup: (host: string, path: string) => Route | undefined
  /** Number of servers to which one client attempt on the named route may be sent; undefined for an unknown route. */
  maxAttempts: (name: string) => number | undefined
}

/** Indexes the routes by host and prefix; a lookup costs one map access per path segment. */
export function createRoutesIndex ({ revision, list }: RoutesDocument): RoutesIndex {
  const attempts = new Map(list.routes.map((route) => [route.name, route.maxAttempts]))
  const hosts = new Map<string, Map<string, Route>>()
  for (const route of list.routes) {
    const host = route.host.toLowerCase()
    const prefixes = hosts.get(host) ?? new Map<string, Route>()
    prefixes.set(route.prefix, route)
    hosts.set(host, prefixes)
  }
  return {
    revision,
    limits: list.limits,
    maxAttempts: (name) => attempts.get(name),
    lookup: (host, path) => {
      const prefixes = hosts.get(host.toLowerCase())
      if (prefixes === undefined) return undefined
      for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
        const route = prefixes.get(path.slice(0, end + 1))
        if (route !== undefined) return route
      }
      return undefined
    }
  }
}
