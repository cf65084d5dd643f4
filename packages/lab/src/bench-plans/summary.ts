import { fitLine, round, type LinearFit } from './statistics.js'
import type { RoleUsage } from './usage.js'
import type { SizeReport } from './run-size.js'

/** Figures of one fleet size by name: CPU in percent of one core, traffic with edits at the design rate. */
export type Row = Record<string, number>

/** Edits per second at the design scale: 570 per day. */
export const DESIGN_EDITS_PER_SECOND = 570 / 86_400
/** Nodes at the design scale. */
export const DESIGN_NODES = 770

type Figure = 'cpuPercent' | 'bytesPerSecond' | 'messagesPerSecond'

/** Usage at the design rate of edits: idle usage plus the usage that edits add at that rate. A negative difference is noise, taken as 0. */
function atDesignRate ({ idle, edits, editCount }: SizeReport, pick: (use: SizeReport['idle']) => RoleUsage, figure: Figure): number {
  const added = Math.max(0, pick(edits)[figure] - pick(idle)[figure])
  return pick(idle)[figure] + added * edits.seconds / editCount * DESIGN_EDITS_PER_SECOND
}

function perEdit ({ idle, edits, editCount }: SizeReport, pick: (use: SizeReport['idle']) => RoleUsage, figure: Figure): number {
  return (pick(edits)[figure] - pick(idle)[figure]) * edits.seconds / editCount
}

/** Flattens the report of one size into a row for the table and the linear fits. */
export function toRow (report: SizeReport): Row {
  const { idle, edits } = report
  const nodes = (use: SizeReport['idle']) => use.nodes
  const controls = (use: SizeReport['idle']) => use.controls
  const row: Row = {
    nodes: report.nodes,
    startSeconds: report.startSeconds,
    inForceP50Seconds: report.inForce.p50Seconds,
    inForceP99Seconds: report.inForce.p99Seconds,
    inForceMaxSeconds: report.inForce.maxSeconds,
    inForceMissing: report.inForce.missing + report.inForceLogged.missing,
    loggedP50Seconds: report.inForceLogged.p50Seconds,
    loggedP99Seconds: report.inForceLogged.p99Seconds,
    loggedMaxSeconds: report.inForceLogged.maxSeconds,
    acceptP50Ms: report.acceptP50Ms,
    reverted: report.reverted,
    readings: report.readings,
    nodeBytesPerSecond: atDesignRate(report, nodes, 'bytesPerSecond'),
    nodeMessagesPerSecond: atDesignRate(report, nodes, 'messagesPerSecond'),
    nodeApiBytesPerSecond: idle.nodes.byChannel.api.bytesPerSecond,
    nodePeerBytesPerSecond: idle.nodes.byChannel.peer.bytesPerSecond,
    nodeGossipBytesPerSecond: idle.nodes.byChannel.gossip.bytesPerSecond,
    nodeBytesPerEdit: perEdit(report, nodes, 'bytesPerSecond'),
    nodeCpuPercent: atDesignRate(report, nodes, 'cpuPercent'),
    nodeCpuMsPerEdit: perEdit(report, nodes, 'cpuPercent') * 10,
    nodeRssMb: edits.nodes.rssMb,
    nodeRssMaxMb: edits.nodes.rssMbMax,
    nodeAnonMb: edits.nodes.anonMb,
    nodeRssAfterMb: report.memoryAfter.rssMb,
    nodeRssAfterMaxMb: report.memoryAfter.rssMbMax,
    nodeAnonAfterMb: report.memoryAfter.anonMb,
    nodeAnonIdleMb: idle.nodes.anonMb,
    controlBytesPerSecond: atDesignRate(report, controls, 'bytesPerSecond'),
    controlMessagesPerSecond: atDesignRate(report, controls, 'messagesPerSecond'),
    controlApiBytesPerSecond: idle.controls.byChannel.api.bytesPerSecond,
    controlGossipBytesPerSecond: idle.controls.byChannel.gossip.bytesPerSecond,
    controlConnections: idle.controls.byChannel.api.connections,
    controlCpuPercent: atDesignRate(report, controls, 'cpuPercent'),
    controlCpuMaxPercent: idle.controls.cpuPercentMax,
    controlCpuMsPerEdit: perEdit(report, controls, 'cpuPercent') * 10,
    controlRssMb: edits.controls.rssMb,
    controlAnonMb: edits.controls.anonMb,
    controlAnonIdleMb: idle.controls.anonMb,
    leaderKillSeconds: report.recovery.leaderKillSeconds,
    quorumRestartSeconds: report.recovery.quorumRestartSeconds,
    allRestartSeconds: report.recovery.allRestartSeconds,
    loadAverage: idle.machine.loadAverage1m,
    runnableMean: idle.machine.runnableMean
  }
  return Object.fromEntries(Object.entries(row).map(([name, value]) => [name, round(value)]))
}

const UNFITTED_FIGURES = new Set(['nodes', 'reverted', 'readings', 'inForceMissing', 'loadAverage', 'runnableMean', 'startSeconds'])

/** Linear fit of each figure and its value at the design scale; empty with a single size. */
export function fitRows (rows: readonly Row[]): Record<string, LinearFit & { atDesign: number }> {
  return Object.fromEntries(Object.keys(rows[0] ?? {}).filter((name) => !UNFITTED_FIGURES.has(name)).flatMap((name) => {
    const line = fitLine(rows.map((row) => ({ nodes: row['nodes']!, value: row[name]! })))
    if (line === undefined) return []
    const { atZero, perNode } = line
    return [[name, { atZero: round(atZero), perNode: round(perNode), atDesign: round(atZero + perNode * DESIGN_NODES) }]]
  }))
}
