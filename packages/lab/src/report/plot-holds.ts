import type { SeriesOption } from 'echarts'
import { HELD_FACTORS, type RunReport, type VariantReport } from '../bench/overload.js'
import { colouredOperations, GRID_COLOUR, TEXT_COLOUR, MUTED_COLOUR, type Plot } from './svg.js'

const WIDTH = 960
const HEIGHT = 440

/** Goodput by operation at the peak and at each held demand level, product beside baseline. */
export function holdsPlot (title: string, operations: Array<{ name: string, importance: string }>, report: RunReport): Plot {
  const coloured = colouredOperations(operations)
  const columns = ['peak', ...HELD_FACTORS.map((factor) => `${factor}x`)]
  const goodput = (variant: VariantReport, column: string, operation: string): number => {
    const peakStep = variant.peak.segment.phases.find((phase) => phase.goodputPerSecond === variant.peak.perSecond)
    const phase = column === 'peak' ? peakStep : variant.holds.phases.find((candidate) => candidate.name === column)
    const tally = phase?.operations[operation]
    return phase === undefined || tally === undefined ? 0 : Math.round(tally.good / phase.seconds * 10) / 10
  }
  const variants = [report.product, report.baseline]
  const panelTitles = ['with overload control', 'without, with retries at every hop']
  const series: SeriesOption[] = variants.flatMap((variant, panel) => coloured.map((op): SeriesOption => ({
    name: op.name,
    type: 'bar',
    xAxisIndex: panel,
    yAxisIndex: panel,
    stack: `goodput ${panel}`,
    barWidth: '55%',
    itemStyle: { color: op.colour },
    data: columns.map((column) => goodput(variant, column, op.name))
  })))
  const highest = Math.max(...variants.flatMap((variant) => [1, ...variant.ratios].map((ratio) => ratio * variant.peak.perSecond)))
  const axisMax = Math.ceil(highest * 1.1 / 10) * 10
  const grids = [{ left: 64, width: 400 }, { left: 532, width: 400 }]
  return {
    width: WIDTH,
    height: HEIGHT,
    option: {
      title: [
        { text: title, left: 24, top: 14, textStyle: { fontSize: 18, color: TEXT_COLOUR } },
        ...variants.map((variant, panel) => ({
          text: panelTitles[panel]!,
          subtext: `at 10x ${Math.round(variant.ratios[variant.ratios.length - 1]! * 100)}% of the own peak of ${Math.round(variant.peak.perSecond)}/s`,
          left: grids[panel]!.left - 6,
          top: 60,
          itemGap: 3,
          textStyle: { fontSize: 13, color: TEXT_COLOUR },
          subtextStyle: { fontSize: 11, color: MUTED_COLOUR }
        }))
      ],
      legend: { right: 24, top: 18, data: coloured.map((op) => op.name), itemWidth: 16, itemHeight: 10 },
      grid: grids.map((grid) => ({ ...grid, top: 112, bottom: 54 })),
      xAxis: grids.map((_, gridIndex) => ({
        type: 'category' as const, gridIndex, data: columns, axisTick: { show: false }, name: 'demand', nameLocation: 'middle' as const, nameGap: 30
      })),
      yAxis: grids.map((_, gridIndex) => ({
        type: 'value' as const,
        gridIndex,
        max: axisMax,
        name: gridIndex === 0 ? 'goodput, requests/s' : '',
        nameLocation: 'middle' as const,
        nameGap: 44,
        splitLine: { lineStyle: { color: GRID_COLOUR } }
      })),
      series
    }
  }
}
