import {
	type Context, ROOT_CONTEXT, type Span, SpanStatusCode, type TextMapGetter, trace, type Tracer,
} from '@opentelemetry/api';
import {W3CTraceContextPropagator} from '@opentelemetry/core';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {
	BatchSpanProcessor, NodeTracerProvider, ParentBasedSampler, type SpanProcessor, TraceIdRatioBasedSampler,
} from '@opentelemetry/sdk-trace-node';

/** Options of tracing. */
export type TracingOptions = {
	/** Fraction of new traces that are sampled, from 0 to 1. */
	readonly sampleRatio: number;
	/** URL of the OTLP endpoint that spans are exported to; none are exported if absent. */
	readonly otlpUrl?: string | undefined;
	/** Additional processors of finished spans. */
	readonly processors?: readonly SpanProcessor[];
};

const propagator = new W3CTraceContextPropagator();
const headerGetter: TextMapGetter<Record<string, string>> = {
	get: (carrier, key) => carrier[key],
	keys: carrier => Object.keys(carrier),
};

/** Creates a span for each hop of a request and propagates the W3C trace context between processes. */
export class Tracing {
	readonly #provider: NodeTracerProvider;
	readonly #tracer: Tracer;

	constructor(options: TracingOptions) {
		const exporters = options.otlpUrl === undefined ? [] : [new BatchSpanProcessor(new OTLPTraceExporter({url: options.otlpUrl}))];
		this.#provider = new NodeTracerProvider({
			sampler: new ParentBasedSampler({root: new TraceIdRatioBasedSampler(options.sampleRatio)}),
			spanProcessors: [...exporters, ...options.processors ?? []],
		});
		this.#tracer = this.#provider.getTracer('chicorysaddle');
	}

	/** Extracts the trace context of a request from its `traceparent` header; the root context if the header is absent. */
	parseTraceparent(traceparent: string | undefined): Context {
		return traceparent === undefined ? ROOT_CONTEXT : propagator.extract(ROOT_CONTEXT, {traceparent}, headerGetter);
	}

	/** Formats a trace context as a `traceparent` header, empty without a valid span. */
	formatTraceparent(context: Context): string {
		const carrier: Record<string, string> = {};
		propagator.inject(context, carrier, {
			set(target, key, value) {
				target[key] = value;
			},
		});
		return carrier.traceparent ?? '';
	}

	/**
	 * Runs a function inside a span, which records the error if the function throws.
	 * @param name - Name of the span.
	 * @param parent - Trace context of the parent span.
	 * @param run - Function to run, with the new trace context and span.
	 */
	async runInSpan<T>(name: string, parent: Context, run: (context: Context, span: Span) => Promise<T>): Promise<T> {
		const span = this.#tracer.startSpan(name, {}, parent);
		try {
			return await run(trace.setSpan(parent, span), span);
		} catch (error) {
			span.setStatus({code: SpanStatusCode.ERROR, message: String(error)});
			throw error;
		} finally {
			span.end();
		}
	}

	/** Exports the remaining spans and shuts down. */
	async close(): Promise<void> {
		await this.#provider.shutdown();
	}
}
