import { type Context, type Span, SpanKind, context, propagation, trace } from '@opentelemetry/api'
import { AsyncLocalStorageContextManager } from '@opentelemetry/context-async-hooks'
import { ExportResultCode, W3CTraceContextPropagator, hrTimeToMilliseconds, type ExportResult } from '@opentelemetry/core'
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http'
import { resourceFromAttributes } from '@opentelemetry/resources'
import {
  BasicTracerProvider, BatchSpanProcessor, ParentBasedSampler, TraceIdRatioBasedSampler,
  type ReadableSpan, type SpanExporter
} from '@opentelemetry/sdk-trace-base'

/** Tracing options. `exporter` sends spans to standard output as JSON lines, to an OTLP endpoint, or nowhere. */
export type TraceOptions = {
  service: string
  host: string
  exporter: 'none' | 'json' | 'otlp'
  otlpUrl?: string
  /** Share of the traces started by this process that are recorded, 0 to 1. */
  sampleRatio: number
}

/** Writes each span as one JSON line. */
class JsonLineExporter implements SpanExporter {
  export (spans: ReadableSpan[], done: (result: ExportResult) => void): void {
    for (const span of spans) process.stdout.write(JSON.stringify(toSpanLine(span)) + '\n')
    done({ code: ExportResultCode.SUCCESS })
  }

  async shutdown (): Promise<void> {}
}

/** Sets up tracing for the process; returns a function that flushes the spans and shuts tracing down. */
export function startTraces (options: TraceOptions): () => Promise<void> {
  propagation.setGlobalPropagator(new W3CTraceContextPropagator())
  context.setGlobalContextManager(new AsyncLocalStorageContextManager().enable())
  const exporter = createExporter(options)
  const provider = new BasicTracerProvider({
    resource: resourceFromAttributes({ 'service.name': options.service, 'host.name': options.host }),
    sampler: new ParentBasedSampler({ root: new TraceIdRatioBasedSampler(exporter === undefined ? 0 : options.sampleRatio) }),
    spanProcessors: exporter === undefined ? [] : [new BatchSpanProcessor(exporter)]
  })
  trace.setGlobalTracerProvider(provider)
  return () => provider.shutdown()
}

/** Starts the span of an incoming request, as a child of the trace context in its headers. */
export function startHopSpan (name: string, kind: SpanKind, headers: Record<string, string | string[] | undefined>): { span: Span, context: Context } {
  const parent = propagation.extract(context.active(), headers)
  const span = trace.getTracer('figloom').startSpan(name, { kind }, parent)
  return { span, context: trace.setSpan(parent, span) }
}

/** Starts a child span of `parent`, for an outgoing request. */
export function startChildSpan (name: string, kind: SpanKind, parent: Context): { span: Span, context: Context } {
  const span = trace.getTracer('figloom').startSpan(name, { kind }, parent)
  return { span, context: trace.setSpan(parent, span) }
}

/** Headers that propagate the trace context with an outgoing request. */
export function traceHeaders (active: Context): Record<string, string> {
  const headers: Record<string, string> = {}
  propagation.inject(active, headers)
  return headers
}

export { SpanKind, SpanStatusCode, type Context, type Span } from '@opentelemetry/api'

function createExporter (options: TraceOptions): SpanExporter | undefined {
  if (options.exporter === 'json') return new JsonLineExporter()
  if (options.exporter === 'otlp') return new OTLPTraceExporter(options.otlpUrl === undefined ? {} : { url: options.otlpUrl })
  return undefined
}

function toSpanLine (span: ReadableSpan) {
  const { traceId, spanId } = span.spanContext()
  return {
    span: span.name,
    traceId,
    spanId,
    parentSpanId: span.parentSpanContext?.spanId,
    startTime: new Date(hrTimeToMilliseconds(span.startTime)).toISOString(),
    durationMs: hrTimeToMilliseconds(span.duration),
    status: span.status.code,
    ...span.resource.attributes,
    ...span.attributes
  }
}
