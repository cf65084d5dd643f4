import { writeFileSync } from 'node:fs'
import { init, type EChartsOption } from 'echarts'

/** A chart and its size in pixels. */
export type Plot = { width: number, height: number, option: EChartsOption }

export const FONT = 'system-ui, "Segoe UI", Helvetica, Arial, sans-serif'
export const TEXT_COLOUR = '#1f2933'
export const MUTED_COLOUR = '#66727f'
export const GRID_COLOUR = '#e4e8ec'

/** Shades by importance, darkest for the most important; further operations of the same importance get lighter shades. */
const SHADES: Record<string, string[]> = {
  claim: ['#0b4f6c', '#2f7694'],
  upload: ['#20a39e', '#6cc6c2'],
  browse: ['#f2b560', '#f7d6a3', '#fbe9cd']
}
const IMPORTANCE_ORDER = ['claim', 'upload', 'browse']

/** Operations with a colour, most important first. */
export function colouredOperations<T extends { name: string, importance: string }> (
  operations: T[]
): Array<T & { index: number, colour: string }> {
  const used: Record<string, number> = {}
  return operations
    .map((op, index) => ({ ...op, index }))
    .sort((a, b) => IMPORTANCE_ORDER.indexOf(a.importance) - IMPORTANCE_ORDER.indexOf(b.importance))
    .map((op) => {
      const shades = SHADES[op.importance] ?? [MUTED_COLOUR]
      const nth = used[op.importance] ?? 0
      used[op.importance] = nth + 1
      return { ...op, colour: shades[nth % shades.length]! }
    })
}

/** Renders a plot to SVG text without a DOM. */
export function renderSvg ({ width, height, option }: Plot): string {
  const chart = init(null, null, { renderer: 'svg', ssr: true, width, height })
  chart.setOption({ animation: false, backgroundColor: '#ffffff', textStyle: { fontFamily: FONT, color: TEXT_COLOUR }, ...option })
  const svg = chart.renderToSVGString()
  chart.dispose()
  return svg
}

/** Renders a plot to an SVG file. */
export function writeSvg (file: string, plot: Plot): void {
  writeFileSync(file, renderSvg(plot))
}
