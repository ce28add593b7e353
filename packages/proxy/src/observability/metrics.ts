import {build, type Histogram} from 'hdr-histogram-js';

/** A stage of a request whose duration is recorded. */
export type Hop = 'request' | 'admission' | 'queue' | 'endpoint' | 'confirm' | 'forward';

const hops: readonly Hop[] = ['request', 'admission', 'queue', 'endpoint', 'confirm', 'forward'];
const microsecondsPerMs = 1000;
const percentiles = [50, 90, 99, 99.9] as const;

/** Counters, gauges and duration histograms of one proxy. */
export class Metrics {
	readonly #histograms = new Map<Hop, Histogram>(hops.map(hop => [hop, build({lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 2})]));
	readonly #counters = new Map<string, number>();
	readonly #gauges = new Map<string, () => number>();

	/** Records the duration of a hop, in milliseconds. */
	recordDuration(hop: Hop, durationMs: number): void {
		this.#histograms.get(hop)!.recordValue(Math.max(1, Math.round(durationMs * microsecondsPerMs)));
	}

	/** Increments a counter. */
	addCount(name: string, count = 1): void {
		this.#counters.set(name, (this.#counters.get(name) ?? 0) + count);
	}

	/** Returns the value of a counter, 0 if it was never incremented. */
	getCount(name: string): number {
		return this.#counters.get(name) ?? 0;
	}

	/** Adds a gauge, whose value is read each time the metrics are read. */
	addGauge(name: string, read: () => number): void {
		this.#gauges.set(name, read);
	}

	/** Returns the values of all counters and gauges. */
	getValues(): Record<string, number> {
		const values = Object.fromEntries(this.#counters);
		for (const [name, read] of this.#gauges) {
			values[name] = read();
		}

		return values;
	}

	/** Formats all metrics in the Prometheus text format. */
	formatPrometheusText(): string {
		const lines: string[] = [];
		for (const [name, value] of Object.entries(this.getValues())) {
			lines.push(`chicorysaddle_${name.replaceAll(/\W/gv, '_')} ${value}`);
		}

		for (const [hop, histogram] of this.#histograms) {
			for (const percentile of percentiles) {
				lines.push(`chicorysaddle_hop_duration_ms{hop="${hop}",quantile="${percentile / 100}"} ${histogram.getValueAtPercentile(percentile) / microsecondsPerMs}`);
			}

			lines.push(`chicorysaddle_hop_duration_ms_count{hop="${hop}"} ${histogram.totalCount}`);
		}

		return `${lines.join('\n')}\n`;
	}
}
