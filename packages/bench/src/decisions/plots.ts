/** Renders the plots of the report as one SVG. */
import * as echarts from 'echarts'
import { SCENARIOS } from './demand.js'
import { DEPLOYMENTS } from './deployments.js'
import { findRow, type Report } from './report.js'
import { VERSIONS } from './versions.js'

const WIDTH = 1200
const PANEL_HEIGHT = 280

/** Attainment and moves of every version, one panel per deployment and metric. */
export function renderPlots (report: Report): string {
  const panels = DEPLOYMENTS.flatMap(({ name }) => [
    { deployment: name, title: `${name}: requests within target, %`, figure: 'attainment' as const },
    { deployment: name, title: `${name}: moves`, figure: 'moves' as const }
  ])
  const chart = echarts.init(null, null, { renderer: 'svg', ssr: true, width: WIDTH, height: PANEL_HEIGHT * panels.length + 40 })
  chart.setOption({
    animation: false,
    backgroundColor: '#fff',
    legend: { data: VERSIONS.map(({ name }) => name), top: 4 },
    title: panels.map(({ title }, index) => ({ text: title, left: 60, top: topOf(index) - 28, textStyle: { fontSize: 13 } })),
    grid: panels.map((_, index) => ({ left: 60, right: 20, top: topOf(index), height: PANEL_HEIGHT - 80 })),
    xAxis: panels.map((_, gridIndex) => ({ type: 'category', gridIndex, data: SCENARIOS })),
    yAxis: panels.map((_, gridIndex) => ({ type: 'value', gridIndex })),
    series: panels.flatMap(({ deployment, figure }, index) => VERSIONS.map((version) => ({
      name: version.name,
      type: 'bar',
      xAxisIndex: index,
      yAxisIndex: index,
      data: SCENARIOS.map((scenario) => (findRow(report.rows, deployment, scenario, version.name)?.[figure].median ?? 0) * (figure === 'attainment' ? 100 : 1))
    })))
  })
  const svg = chart.renderToSVGString()
  chart.dispose()
  return svg
}

function topOf (panel: number): number {
  return 70 + panel * PANEL_HEIGHT
}
