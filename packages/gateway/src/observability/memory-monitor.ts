import process from 'node:process';
import {getHeapStatistics} from 'node:v8';
import {type BackgroundTasks} from '../tasks/index.js';
import {type EventLog} from './event-log.js';
import {type GatewayMetrics} from './gateway-metrics.js';

/** Memory of this process, in bytes. */
export type MemoryUsage = {
	readonly heapUsed: number;
	/** Size of the heap at which the process ends. */
	readonly heapLimit: number;
	/** Memory outside of the heap that objects on it keep, such as buffers. */
	readonly external: number;
	/** Undefined if it cannot be read: that takes a file descriptor. */
	readonly resident: number | undefined;
};

/** Interval between checks of the memory, in milliseconds. */
const checkIntervalMs = 2000;

/** Number of checks from one `memory.used` event to the next. */
const checksPerEvent = 15;

/** Share of the heap limit from which the use of memory is high. */
const highShare = 0.8;

/** Share of the heap limit below which the use of memory is no longer high. */
const normalShare = 0.65;

const bytesPerMb = 1_048_576;

/** Reads the memory of this process. */
export function readMemoryUsage(): MemoryUsage {
	const {used_heap_size: heapUsed, heap_size_limit: heapLimit, external_memory: external} = getHeapStatistics();
	return {
		heapUsed, heapLimit, external, resident: readResidentSize(),
	};
}

function readResidentSize(): number | undefined {
	try {
		return process.memoryUsage.rss();
	} catch {
		return undefined;
	}
}

/** Shows the memory of this process as gauges and events, because a process that ends for lack of memory cannot log it. */
export class MemoryMonitor {
	#isHigh = false;
	#checkCount = 0;

	constructor(private readonly log: EventLog, metrics: GatewayMetrics, private readonly readUsage: () => MemoryUsage = readMemoryUsage) {
		metrics.addGauge('heap_used_bytes', () => readUsage().heapUsed);
		metrics.addGauge('heap_limit_bytes', () => readUsage().heapLimit);
		metrics.addGauge('external_bytes', () => readUsage().external);
		metrics.addGauge('resident_bytes', () => readUsage().resident ?? Number.NaN);
	}

	/**
	 * Starts the checks, which do not keep the process running.
	 * @param tasks - Contains an error of a check.
	 */
	start(tasks: BackgroundTasks): void {
		setInterval(tasks.createCallback('memory check', () => {
			this.check();
		}), checkIntervalMs).unref();
	}

	/** Logs the memory at every few checks, and whenever its use becomes high or normal again. */
	check(): void {
		const usage = this.readUsage();
		const fields = {
			heapMb: Math.round(usage.heapUsed / bytesPerMb), limitMb: Math.round(usage.heapLimit / bytesPerMb), externalMb: Math.round(usage.external / bytesPerMb), residentMb: usage.resident === undefined ? undefined : Math.round(usage.resident / bytesPerMb),
		};
		const share = usage.heapUsed / usage.heapLimit;
		if (this.#isHigh ? share < normalShare : share >= highShare) {
			this.#isHigh = !this.#isHigh;
			this.log.logEvent(this.#isHigh ? 'memory.high' : 'memory.normal', fields);
		}

		if (this.#checkCount % checksPerEvent === 0) {
			this.log.logEvent('memory.used', fields);
		}

		this.#checkCount += 1;
	}
}
