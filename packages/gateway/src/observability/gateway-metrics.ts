import {type Histogram} from './histogram-library.js';

/** Waits and durations that are recorded. */
export type DurationName = 'statement' | 'place' | 'connect' | 'instance' | 'lease';

const durationNames: readonly DurationName[] = ['statement', 'place', 'connect', 'instance', 'lease'];
const quantiles = [50, 90, 99, 99.9] as const;
const microsecondsPerMs = 1000;
const maxDurationUs = 60_000_000;

/** Durations that are kept until the histograms are loaded. */
const maxPendingDurations = 5000;

/** Counters, gauges and durations of a gateway. */
export class GatewayMetrics {
	readonly #counters = new Map<string, number>();
	readonly #reportedCounters = new Map<string, number>();
	readonly #pendingDurations: Array<{readonly duration: DurationName; readonly value: number}> = [];
	readonly #gauges = new Map<string, () => number>();
	readonly #histograms = new Map<DurationName, Histogram>();

	addCount(name: string): void {
		this.#counters.set(name, (this.#counters.get(name) ?? 0) + 1);
	}

	getCount(name: string): number {
		return this.#counters.get(name) ?? 0;
	}

	/** Returns what the counters gained since the last call. */
	takeCounterIncreases(): Record<string, number> {
		const gains: Record<string, number> = {};
		for (const [name, value] of this.#counters) {
			const gain = value - (this.#reportedCounters.get(name) ?? 0);
			this.#reportedCounters.set(name, value);
			if (gain > 0) {
				gains[name] = gain;
			}
		}

		return gains;
	}

	/** Adds a value that is read when the metrics are. */
	addGauge(name: string, read: () => number): void {
		this.#gauges.set(name, read);
	}

	recordDuration(duration: DurationName, ms: number): void {
		const value = Math.min(maxDurationUs, Math.max(1, Math.round(ms * microsecondsPerMs)));
		const histogram = this.#histograms.get(duration);
		if (histogram !== undefined) {
			histogram.recordValue(value);
		} else if (this.#pendingDurations.length < maxPendingDurations) {
			this.#pendingDurations.push({duration, value});
		}
	}

	/** Loads the histograms: their library takes long to load, and a restarted VM has callers waiting. */
	async loadHistograms(): Promise<void> {
		const {build} = await import('./histogram-library.js');
		for (const duration of durationNames) {
			this.#histograms.set(duration, build({
				lowestDiscernibleValue: 1, highestTrackableValue: maxDurationUs, numberOfSignificantValueDigits: 1, bitBucketSize: 32,
			}));
		}

		for (const {duration, value} of this.#pendingDurations.splice(0)) {
			this.#histograms.get(duration)!.recordValue(value);
		}
	}

	/** Writes everything in the Prometheus text format. */
	formatPrometheusText(): string {
		const lines = [...this.#counters].map(([name, value]) => `chicorysaddle_${name.replaceAll(/\W/gv, '_')} ${value}`);
		for (const [name, read] of this.#gauges) {
			lines.push(`chicorysaddle_${name.replaceAll(/\W/gv, '_')} ${read()}`);
		}

		for (const duration of durationNames) {
			const histogram = this.#histograms.get(duration);
			if (histogram !== undefined && histogram.totalCount > 0) {
				lines.push(
					...quantiles.map(quantile => `chicorysaddle_duration_ms{step="${duration}",quantile="${quantile / 100}"} ${histogram.getValueAtPercentile(quantile) / microsecondsPerMs}`),
					`chicorysaddle_duration_ms_count{step="${duration}"} ${histogram.totalCount}`,
				);
			}
		}

		return `${lines.join('\n')}\n`;
	}
}
