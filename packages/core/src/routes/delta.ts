import { canonicalJson } from '../lists/delta.js'
import type { ClientLimits, Route, RoutedService, RoutesDocument } from './schema.js'

/** What turns one version of the routes into the next one; the sizes of both may be large, while the difference is small. */
export type RoutesDelta = {
  from: number
  to: number
  limits: ClientLimits
  /** Absent when the services are the same. */
  services?: RoutedService[]
  /** Keys of routes that are gone. */
  removed: string[]
  /** New and changed routes. */
  set: Route[]
}

const keyOf = ({ host, prefix }: Route) => `${host} ${prefix}`
const byKey = (routes: readonly Route[]) => new Map(routes.map((route) => [keyOf(route), route]))
const isEqual = (a: unknown, b: unknown) => canonicalJson(a) === canonicalJson(b)

/** The difference between two versions; undefined when a version has two routes for one host and prefix. */
export function diffRoutes (before: RoutesDocument, after: RoutesDocument): RoutesDelta | undefined {
  const old = byKey(before.list.routes)
  const now = byKey(after.list.routes)
  if (old.size !== before.list.routes.length || now.size !== after.list.routes.length) return undefined
  return {
    from: before.revision,
    to: after.revision,
    limits: after.list.limits,
    ...(isEqual(before.list.services, after.list.services) ? {} : { services: after.list.services }),
    removed: [...old.keys()].filter((key) => !now.has(key)),
    set: after.list.routes.filter((route) => !isEqual(old.get(keyOf(route)) ?? null, route))
  }
}

/** Applies a delta to the version it starts from; undefined for another one. */
export function applyRoutesDelta ({ revision, list }: RoutesDocument, delta: RoutesDelta): RoutesDocument | undefined {
  if (revision !== delta.from) return undefined
  const routes = byKey(list.routes)
  for (const key of delta.removed) routes.delete(key)
  for (const route of delta.set) routes.set(keyOf(route), route)
  return { revision: delta.to, list: { limits: delta.limits, services: delta.services ?? list.services, routes: [...routes.values()] } }
}
