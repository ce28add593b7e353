import {type Histogram} from './histogram-library.js';

/** Names of the recorded durations. */
export type DurationName = 'statement' | 'place' | 'connect' | 'instance' | 'lease';

const durationNames: readonly DurationName[] = ['statement', 'place', 'connect', 'instance', 'lease'];
const percentiles = [50, 90, 99, 99.9] as const;
const microsecondsPerMs = 1000;
/** Maximum duration that is recorded, in microseconds; a longer one is recorded as this. */
const maxDurationUs = 60_000_000;

/** Maximum number of durations buffered until the histograms are loaded. */
const maxPendingDurations = 5000;

/** Counters, gauges and duration histograms of a gateway. */
export class GatewayMetrics {
	readonly #counters = new Map<string, number>();
	readonly #reportedCounters = new Map<string, number>();
	readonly #pendingDurations: Array<{readonly duration: DurationName; readonly value: number}> = [];
	readonly #gauges = new Map<string, () => number>();
	readonly #histograms = new Map<DurationName, Histogram>();

	/** Increments a counter, which is created by its first increment. */
	addCount(name: string): void {
		this.#counters.set(name, (this.#counters.get(name) ?? 0) + 1);
	}

	/** Returns the value of a counter, zero if it was never incremented. */
	getCount(name: string): number {
		return this.#counters.get(name) ?? 0;
	}

	/** Returns the counters that increased since the last call, with their increase. */
	takeCounterIncreases(): Record<string, number> {
		const increases: Record<string, number> = {};
		for (const [name, value] of this.#counters) {
			const increase = value - (this.#reportedCounters.get(name) ?? 0);
			this.#reportedCounters.set(name, value);
			if (increase > 0) {
				increases[name] = increase;
			}
		}

		return increases;
	}

	/** Registers a gauge; `read` is called whenever the metrics are formatted. */
	addGauge(name: string, read: () => number): void {
		this.#gauges.set(name, read);
	}

	/**
	 * Records a duration; drops it if the histograms are not loaded and the buffer is full.
	 * @param ms - Duration, in milliseconds.
	 */
	recordDuration(duration: DurationName, ms: number): void {
		const value = Math.min(maxDurationUs, Math.max(1, Math.round(ms * microsecondsPerMs)));
		const histogram = this.#histograms.get(duration);
		if (histogram !== undefined) {
			histogram.recordValue(value);
		} else if (this.#pendingDurations.length < maxPendingDurations) {
			this.#pendingDurations.push({duration, value});
		}
	}

	/** Loads the histogram library and creates the histograms. The library is slow to load, so it is not loaded during startup, when the callers of a restarted VM are waiting. */
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

	/** Formats all metrics in the Prometheus text format. */
	formatPrometheusText(): string {
		const lines = [...this.#counters].map(([name, value]) => `chicorysaddle_${name.replaceAll(/\W/gv, '_')} ${value}`);
		for (const [name, read] of this.#gauges) {
			lines.push(`chicorysaddle_${name.replaceAll(/\W/gv, '_')} ${read()}`);
		}

		for (const duration of durationNames) {
			const histogram = this.#histograms.get(duration);
			if (histogram !== undefined && histogram.totalCount > 0) {
				lines.push(
					...percentiles.map(percentile => `chicorysaddle_duration_ms{step="${duration}",quantile="${percentile / 100}"} ${histogram.getValueAtPercentile(percentile) / microsecondsPerMs}`),
					`chicorysaddle_duration_ms_count{step="${duration}"} ${histogram.totalCount}`,
				);
			}
		}

		return `${lines.join('\n')}\n`;
	}
}
