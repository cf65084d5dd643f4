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

/** Routes of one host by their prefix. */
type HostRoutes = { byPrefix: Map<string, Route>, longestPrefix: number }

/** Indexes the routes by host and prefix; a lookup costs one map access per segment of a path, up to the length of the longest prefix. */
export function createRoutesIndex ({ revision, list }: RoutesDocument): RoutesIndex {
  const attempts = new Map(list.routes.map((route) => [route.name, route.maxAttempts]))
  const hosts = new Map<string, HostRoutes>()
  for (const route of list.routes) {
    const host = route.host.toLowerCase()
    const routes = hosts.get(host) ?? { byPrefix: new Map<string, Route>(), longestPrefix: 0 }
    routes.byPrefix.set(route.prefix, route)
    routes.longestPrefix = Math.max(routes.longestPrefix, route.prefix.length)
    hosts.set(host, routes)
  }
  return {
    revision,
    limits: list.limits,
    maxAttempts: (name) => attempts.get(name),
    lookup: (host, path) => {
      const routes = hosts.get(host.toLowerCase())
      if (routes === undefined) return undefined
      // Clients choose their paths, so that the rest of a long one must not be searched.
      for (let end = path.lastIndexOf('/', routes.longestPrefix - 1); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
        const route = routes.byPrefix.get(path.slice(0, end + 1))
        if (route !== undefined) return route
      }
      return undefined
    }
  }
}
