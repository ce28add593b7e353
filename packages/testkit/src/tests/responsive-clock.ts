/** Interval at which the clock moves on, in milliseconds. */
const tickIntervalMs = 5;

/**
 * Maximum advance of the clock between two turns of the event loop, in milliseconds.
 * A step that waits for the network takes several turns, so each has to count for far less than a lease or a deadline.
 */
const maxAdvanceMs = 10;

/** Remaining time for which a timer is not started again, in milliseconds; the system fires timers up to this much early. */
const timerToleranceMs = 1;

const startRealTimer = globalThis.setTimeout;
const clearRealTimer = globalThis.clearTimeout;

let isInstalled = false;

/** Timer that fires once the clock of the process has reached its time. */
class ResponsiveTimer {
	#timer: NodeJS.Timeout | undefined;
	#dueAt = 0;
	#hasRef = true;

	constructor(private readonly callback: () => void, private readonly delayMs: number) {
		this.refresh();
	}

	refresh(): this {
		this.close();
		this.#dueAt = performance.now() + this.delayMs;
		this.#start(this.delayMs);
		return this;
	}

	close(): this {
		clearRealTimer(this.#timer);
		this.#timer = undefined;
		return this;
	}

	ref(): this {
		this.#hasRef = true;
		this.#timer?.ref();
		return this;
	}

	unref(): this {
		this.#hasRef = false;
		this.#timer?.unref();
		return this;
	}

	hasRef(): boolean {
		return this.#hasRef;
	}

	#start(delayMs: number): void {
		this.#timer = startRealTimer(() => {
			this.#handleTimeout();
		}, delayMs);
		if (!this.#hasRef) {
			this.#timer.unref();
		}
	}

	#handleTimeout(): void {
		const remainingMs = this.#dueAt - performance.now();
		if (remainingMs < timerToleranceMs) {
			this.#timer = undefined;
			this.callback();
		} else {
			this.#start(remainingMs);
		}
	}
}

function installTimers(): void {
	const startTimer = (callback: (...parameters: unknown[]) => void, delayMs = 0, ...parameters: unknown[]) => new ResponsiveTimer(() => {
		callback(...parameters);
	}, delayMs);
	Object.assign(globalThis, {
		setTimeout: Object.assign(startTimer, startRealTimer),
		clearTimeout(timer: ResponsiveTimer | NodeJS.Timeout | undefined) {
			if (timer instanceof ResponsiveTimer) {
				timer.close();
			} else {
				clearRealTimer(timer);
			}
		},
	});
}

/**
 * Replaces the monotonic clock and the timeouts of the test process by ones that stand still while the process gets no processor.
 * Proxies, connections, fakes and tests of one process share them, so a loaded machine ends no lease or deadline and fails no expectation about time.
 */
export function installResponsiveClock(): void {
	if (isInstalled) {
		return;
	}

	isInstalled = true;
	const getRealNow = performance.now.bind(performance);
	let readAt = getRealNow();
	let now = readAt;
	performance.now = () => {
		const realNow = getRealNow();
		return now + Math.min(maxAdvanceMs, realNow - readAt);
	};

	setInterval(() => {
		now = performance.now();
		readAt = getRealNow();
	}, tickIntervalMs).unref();
	installTimers();
}
