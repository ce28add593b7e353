/** Time for which no operation is forwarded to a gateway that failed, in milliseconds. */
const failureBackoffMs = 1000;

/** Time for which no operation is forwarded to a gateway that is draining, in milliseconds: until the members list shows it. */
const drainBackoffMs = 3000;

/** Time without any message from a gateway that owes an answer after which it counts as silent, in milliseconds: longer than the interval at which it reports progress. */
const silenceThresholdMs = 300;

/** Time for which an operation waits for the link to a gateway, in milliseconds: a few handshakes. */
const connectWaitMs = 60;

/** Maximum number of operations that are in flight on the link to a gateway. */
const maxInFlight = 64;

/** Time constant of the measured costs, in milliseconds. */
const costTimeConstantMs = 2000;

/** Time after which a measured cost is forgotten, in milliseconds, so that a slow gateway is tried again. */
const costRetentionMs = 5000;

/** Number of samples before a measured cost of forwarding counts. */
const minSamples = 3;

/** Cost of opening a connection before it was measured, in milliseconds: a handshake and a round trip. */
const initialOpeningCostMs = 14;

/** Cost of forwarding before it was measured, in milliseconds: a round trip within an availability zone. */
const initialForwardingCostMs = 2;

/** What happens to an operation for whose account this VM has no idle connection. */
export type ForwardingDecision = 'forward' | 'wait' | 'open';

/** Reason why operations are not forwarded to a gateway for a while. */
export type ForwardFailure = 'closed' | 'silent' | 'draining';

const backoffsByFailure: Readonly<Record<ForwardFailure, number>> = {
	closed: failureBackoffMs, silent: failureBackoffMs, draining: drainBackoffMs,
};

/** Average of a cost over the last seconds. */
class MeasuredCost {
	#averageMs = 0;
	#sampleCount = 0;
	#measuredAt = Number.NEGATIVE_INFINITY;

	/** Records a sample. */
	recordSample(ms: number, now: number): void {
		const isForgotten = now - this.#measuredAt > costRetentionMs;
		this.#sampleCount = isForgotten ? 1 : this.#sampleCount + 1;
		// The first samples are averaged evenly, later ones by their age.
		const weight = Math.max(1 / this.#sampleCount, 1 - Math.exp((this.#measuredAt - now) / costTimeConstantMs));
		this.#averageMs = isForgotten ? ms : this.#averageMs + (weight * (ms - this.#averageMs));
		this.#measuredAt = now;
	}

	/** Returns the average, undefined if there are too few recent samples. */
	getAverageMs(now: number): number | undefined {
		return this.#sampleCount < minSamples || now - this.#measuredAt > costRetentionMs ? undefined : this.#averageMs;
	}
}

/** Decides whether an operation is forwarded to one gateway, from how that gateway has responded. */
export class ForwardingPolicy {
	#backoffUntil = Number.NEGATIVE_INFINITY;
	#connectingSince: number | undefined;
	#isConnected = false;
	/** Whether the last link was closed, or not accepted. */
	#hasFailed = false;
	#heardAt = Number.NEGATIVE_INFINITY;
	/** Monotonic times at which the operations in flight were sent, by id, oldest first. */
	readonly #inFlight = new Map<number, number>();
	readonly #forwardingCost = new MeasuredCost();
	readonly #openingCost = new MeasuredCost();

	/** Number of operations in flight. */
	get inFlightCount(): number {
		return this.#inFlight.size;
	}

	/** Estimates the time that forwarding adds to an operation, in milliseconds. */
	estimateForwardingCostMs(now: number): number {
		return this.#forwardingCost.getAverageMs(now) ?? initialForwardingCostMs;
	}

	/** Decides about an operation now; a decision to wait is taken again when an operation ends or the link opens. */
	choose(now: number): ForwardingDecision {
		if (now < this.#backoffUntil || this.isSilent(now) || this.#isSlow(now)) {
			return 'open';
		}

		if (!this.#isConnected) {
			// An operation waits for a link that has not failed before; otherwise the attempt only shows whether the gateway responds again.
			return !this.#hasFailed && (this.#connectingSince === undefined || now - this.#connectingSince < connectWaitMs) ? 'wait' : 'open';
		}

		return this.#inFlight.size < maxInFlight ? 'forward' : 'wait';
	}

	/** Returns whether a link to the gateway has to be opened. */
	isLinkNeeded(now: number): boolean {
		return !this.#isConnected && this.#connectingSince === undefined && now >= this.#backoffUntil;
	}

	/** Returns whether the gateway owes an answer and has sent nothing for too long. */
	isSilent(now: number): boolean {
		const [oldestSentAt] = this.#inFlight.values();
		return oldestSentAt !== undefined && now - Math.max(oldestSentAt, this.#heardAt) >= silenceThresholdMs;
	}

	/** Records that a link to the gateway is being opened. */
	recordConnecting(now: number): void {
		this.#connectingSince = now;
	}

	/** Records that the gateway accepted the link. */
	recordConnected(now: number): void {
		this.#isConnected = true;
		this.#hasFailed = false;
		this.#connectingSince = undefined;
		this.#heardAt = now;
	}

	/** Records that the link was closed; none of its operations will be answered. */
	recordClosed(now: number): void {
		this.#isConnected = false;
		this.#hasFailed = true;
		this.#connectingSince = undefined;
		this.#inFlight.clear();
		this.recordFailure('closed', now);
	}

	/** Records that the gateway sent a message. */
	recordMessage(now: number): void {
		this.#heardAt = now;
	}

	/** Records that an operation was sent. */
	recordSent(id: number, now: number): void {
		this.#inFlight.set(id, now);
	}

	/** Records that an operation was answered or is no longer awaited. */
	recordEnded(id: number): void {
		this.#inFlight.delete(id);
	}

	/**
	 * Records the time that an operation took beyond its wait and its run at the gateway.
	 * @param ms - Time, in milliseconds.
	 */
	recordForwardingCost(ms: number, now: number): void {
		this.#forwardingCost.recordSample(ms, now);
	}

	/** Records the time that it took to open a connection, in milliseconds. */
	recordOpeningCost(ms: number, now: number): void {
		this.#openingCost.recordSample(ms, now);
	}

	/** Records that the gateway did not accept or complete an operation. */
	recordFailure(failure: ForwardFailure, now: number): void {
		this.#backoffUntil = Math.max(this.#backoffUntil, now + backoffsByFailure[failure]);
	}

	#isSlow(now: number): boolean {
		const forwardingMs = this.#forwardingCost.getAverageMs(now);
		return forwardingMs !== undefined && forwardingMs > Math.max(initialOpeningCostMs, this.#openingCost.getAverageMs(now) ?? 0);
	}
}
