import type { SeriesOption } from 'echarts'
import type { Timeline } from '../load/accounting.js'
import { colouredOperations, GRID_COLOUR, TEXT_COLOUR, MUTED_COLOUR, type Plot } from './svg.js'

type PlottedVariant = { timeline: Timeline, recoverySeconds: number | undefined }

/** Data of a plot of goodput over time. */
export type SurgePlot = {
  title: string
  operations: Array<{ name: string, importance: string }>
  bucketMs: number
  /** Time span of the fault or surge; undefined when the run has none. */
  trigger: { fromS: number, toS: number, label: string } | undefined
  product: PlottedVariant
  baseline: PlottedVariant
}

/** Width of the moving average in buckets; it keeps single arrivals from showing as spikes. */
const SMOOTHING_BUCKETS = 4
const WIDTH = 960
const HEIGHT = 640
const PANELS = [{ top: 104, height: 210 }, { top: 378, height: 210 }]

/** Rate per second at the middle of each bucket. */
function rates (counts: number[], bucketMs: number): Array<[number, number]> {
  return counts.map((_, i) => {
    const from = Math.max(0, i - SMOOTHING_BUCKETS / 2)
    const window = counts.slice(from, from + SMOOTHING_BUCKETS)
    const perSecond = window.reduce((sum, n) => sum + n, 0) / window.length * 1000 / bucketMs
    return [(i + 0.5) * bucketMs / 1000, Math.round(perSecond * 10) / 10]
  })
}

function columnSums (rows: number[][]): number[] {
  return (rows[0] ?? []).map((_, i) => rows.reduce((sum, row) => sum + row[i]!, 0))
}

/** Goodput by operation over time, stacked, for product and baseline on the same scale. */
export function surgePlot ({ title, operations, bucketMs, trigger, product, baseline }: SurgePlot): Plot {
  const variants = [{ name: 'with overload control', ...product }, { name: 'without, with retries at every hop', ...baseline }]
  const coloured = colouredOperations(operations)
  const peak = Math.max(...variants.flatMap((variant) => rates(columnSums(variant.timeline.good), bucketMs).map(([, rate]) => rate)))
  // The axis is scaled to goodput and clips the demand line: at the scale of the surge's demand, goodput would be illegible.
  const axisMax = Math.max(10, Math.ceil(peak * 1.15 / 10) * 10)
  const endS = (product.timeline.arrivals[0]?.length ?? 0) * bucketMs / 1000
  const series: SeriesOption[] = variants.flatMap((variant, panel) => [
    ...coloured.map((op, i): SeriesOption => ({
      name: op.name,
      type: 'line',
      xAxisIndex: panel,
      yAxisIndex: panel,
      stack: `goodput ${panel}`,
      symbol: 'none',
      lineStyle: { width: 0 },
      itemStyle: { color: op.colour },
      areaStyle: { color: op.colour, opacity: 0.95 },
      data: rates(variant.timeline.good[op.index]!, bucketMs),
      ...(i === 0 && trigger !== undefined
        ? {
            markArea: {
              silent: true,
              itemStyle: { color: 'rgba(190, 60, 50, 0.10)' },
              label: { color: '#9c2f26', fontSize: 12, position: 'insideTop' as const },
              data: [[{ name: trigger.label, xAxis: trigger.fromS }, { xAxis: trigger.toS }] as [object, object]]
            }
          }
        : {})
    })),
    {
      name: 'demand',
      type: 'line',
      xAxisIndex: panel,
      yAxisIndex: panel,
      symbol: 'none',
      clip: true,
      itemStyle: { color: TEXT_COLOUR },
      lineStyle: { width: 1.2, type: 'dashed', color: TEXT_COLOUR },
      data: rates(columnSums(variant.timeline.arrivals), bucketMs)
    } satisfies SeriesOption
  ])
  return {
    width: WIDTH,
    height: HEIGHT,
    option: {
      title: [
        { text: title, left: 24, top: 14, textStyle: { fontSize: 18, color: TEXT_COLOUR } },
        ...variants.map((variant, panel) => ({
          text: variant.name,
          subtext: trigger === undefined ? '' : recoveryText(variant.recoverySeconds),
          left: 56,
          top: PANELS[panel]!.top - 44,
          itemGap: 3,
          textStyle: { fontSize: 13, color: TEXT_COLOUR },
          subtextStyle: { fontSize: 11, color: MUTED_COLOUR }
        }))
      ],
      legend: { right: 24, top: 18, data: [...coloured.map((op) => op.name), 'demand'], itemWidth: 16, itemHeight: 10 },
      grid: PANELS.map((panel) => ({ left: 64, right: 28, ...panel })),
      xAxis: PANELS.map((_, panel) => ({
        type: 'value' as const,
        gridIndex: panel,
        min: 0,
        max: endS,
        axisLine: { lineStyle: { color: MUTED_COLOUR } },
        splitLine: { show: false },
        name: panel === 1 ? 'time of arrival in s' : '',
        nameLocation: 'middle' as const,
        nameGap: 28
      })),
      yAxis: PANELS.map((_, panel) => ({
        type: 'value' as const,
        gridIndex: panel,
        min: 0,
        max: axisMax,
        name: 'requests/s',
        nameLocation: 'middle' as const,
        nameGap: 44,
        splitLine: { lineStyle: { color: GRID_COLOUR } }
      })),
      series
    }
  }
}

function recoveryText (seconds: number | undefined): string {
  return seconds === undefined ? 'goodput did not come back to 95% within the run' : `goodput back at 95% after ${seconds.toFixed(2)} s`
}
