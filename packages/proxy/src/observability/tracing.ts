import {
	type Context, ROOT_CONTEXT, type Span, SpanStatusCode, type TextMapGetter, trace, type Tracer,
} from '@opentelemetry/api';
import {W3CTraceContextPropagator} from '@opentelemetry/core';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {
	BatchSpanProcessor, NodeTracerProvider, ParentBasedSampler, type SpanProcessor, TraceIdRatioBasedSampler,
} from '@opentelemetry/sdk-trace-node';

/** Where spans go and how many are kept. */
export type TracingOptions = {
	readonly sampleRatio: number;
	readonly otlpUrl?: string | undefined;
	/** Further receivers of finished spans. */
	readonly processors?: readonly SpanProcessor[];
};

const propagator = new W3CTraceContextPropagator();
const headerGetter: TextMapGetter<Record<string, string>> = {
	get: (carrier, key) => carrier[key],
	keys: carrier => Object.keys(carrier),
};

/** Spans for each hop of a request, with W3C trace context between processes. */
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

	/** Reads the trace that a request belongs to. */
	parseTraceparent(traceparent: string | undefined): Context {
		return traceparent === undefined ? ROOT_CONTEXT : propagator.extract(ROOT_CONTEXT, {traceparent}, headerGetter);
	}

	/** Writes the header that hands a trace on. */
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
	 * Runs a hop inside a span.
	 * @param name - Name of the hop.
	 * @param parent - Trace that the hop belongs to.
	 * @param run - The hop, given its own trace context and span.
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

	/** Sends what is left. */
	async close(): Promise<void> {
		await this.#provider.shutdown();
	}
}
