import { canonicalJson } from '../lists/delta.js'
import type { ClientLimits, Route, RoutedService, RoutesDocument } from './schema.js'

/** Difference between two versions of the routes; its size depends on the change, not on the size of the whole list. */
export type RoutesDelta = {
  from: number
  to: number
  limits: ClientLimits
  /** Absent when the services are the same. */
  services?: RoutedService[]
  /** Keys of removed routes. */
  removed: string[]
  /** New and changed routes. */
  set: Route[]
}

const keyOf = ({ host, prefix }: Route) => `${host} ${prefix}`
const byKey = (routes: readonly Route[]) => new Map(routes.map((route) => [keyOf(route), route]))
const isEqual = (a: unknown, b: unknown) => canonicalJson(a) === canonicalJson(b)

/** Computes the difference between two versions; undefined when a version has two routes for one host and prefix. */
export function diffRoutes (before: RoutesDocument, after: RoutesDocument): RoutesDelta | undefined {
  const oldRoutes = byKey(before.list.routes)
  const newRoutes = byKey(after.list.routes)
  if (oldRoutes.size !== before.list.routes.length || newRoutes.size !== after.list.routes.length) return undefined
  return {
    from: before.revision,
    to: after.revision,
    limits: after.list.limits,
    ...(isEqual(before.list.services, after.list.services) ? {} : { services: after.list.services }),
    removed: [...oldRoutes.keys()].filter((key) => !newRoutes.has(key)),
    set: after.list.routes.filter((route) => !isEqual(oldRoutes.get(keyOf(route)) ?? null, route))
  }
}

/** Applies a delta to the version it starts from; undefined for any other version. */
export function applyRoutesDelta ({ revision, list }: RoutesDocument, delta: RoutesDelta): RoutesDocument | undefined {
  if (revision !== delta.from) return undefined
  const routes = byKey(list.routes)
  for (const key of delta.removed) routes.delete(key)
  for (const route of delta.set) routes.set(keyOf(route), route)
  return { revision: delta.to, list: { limits: delta.limits, services: delta.services ?? list.services, routes: [...routes.values()] } }
}
