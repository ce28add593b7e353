import {
	createUnlisted, type Instance, type InstanceRegistry, instanceRetentionMs,
} from '../instances/index.js';
import {type EventLog, type GatewayMetrics} from '../observability/index.js';
import {type Clock} from '../ports/index.js';
import {type GroupTerm, type PendingOrder, type TermRegistry} from '../terms/index.js';
import {type InstanceStatusReader} from './instance-status-reader.js';

/** Timeout of a handshake and of a status request, in milliseconds. */
const statusTimeoutMs = 400;

/** Maximum age of a check on which a write is sent, in milliseconds. */
const maxCheckAgeMs = 200;

/** Maximum time for which a write waits for a check before it is sent, in milliseconds. */
const sendWaitTimeoutMs = 400;

/** Maximum time for which the answer of a write waits for a check, in milliseconds. */
const answerWaitTimeoutMs = 800;

/** Delay before instances that did not answer a check are asked again, in milliseconds. */
const retryDelayMs = 30;

/** Time for which an instance that is not listed and did not answer is not asked again, in milliseconds: each question takes as long as its timeout. */
const goneRetentionMs = 2000;

/** Interval between the checks of the coordinator, in milliseconds. */
const checkIntervalMs = 500;

/** Result of a check; `promoted`: an instance is in a later term than the known one. */
type CheckResult = 'clear' | 'promoted' | 'unknown';

type WatchedInstance = {
	/** Monotonic time from which it is watched, in milliseconds. */
	readonly since: number;
	/** Whether its promotion was ordered; otherwise its entry states that it has become the primary. */
	readonly isOrdered: boolean;
	/** Its last entry, or as much as is known of it. */
	instance: Instance;
	/** Monotonic time until which it is not asked again unless it is listed, in milliseconds: it is not listed and did not answer. */
	goneUntil: number;
};

type CheckRecord = {readonly startedAt: number; readonly result: CheckResult; readonly revision: number | undefined};

/** Dependencies of a `PromotionWatch`. */
export type PromotionWatchDependencies = {
	readonly statusReader: InstanceStatusReader;
	readonly terms: TermRegistry;
	readonly instances: InstanceRegistry;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: GatewayMetrics;
};

/**
 * Watches the instances that may become primaries without an order of the present coordinator: those of orders whose answers are not known, and those whose entries say so.
 * While there are any, a write is sent, and its success passed on, only after they have been asked whether one of them leads a later term.
 */
export class PromotionWatch {
	/** Watched instances by group and id. */
	readonly #watched = new Map<string, Map<string, WatchedInstance>>();
	/** Instances that are not listed any more, and when they left the list, in milliseconds. */
	readonly #departed = new Map<string, {readonly instance: Instance; readonly at: number}>();
	/** Ids of instances whose promotions this VM orders now, by group. */
	readonly #runningOrders = new Map<string, string>();
	readonly #lastChecks = new Map<string, CheckRecord>();
	readonly #runningChecks = new Map<string, Promise<CheckResult>>();
	/** Checks that begin once the running one of their group has ended. */
	readonly #nextChecks = new Map<string, Promise<CheckResult>>();

	constructor(private readonly dependencies: PromotionWatchDependencies) {
		dependencies.terms.onChanged(term => {
			for (const {instanceId, address} of term.pendingOrders ?? []) {
				this.addOrdered(term.group, instanceId, address);
			}
		});
		dependencies.instances.onChanged((before, after) => {
			this.#handleInstanceChange(before, after);
		});
	}

	/**
	 * Adds an instance of whose promotion no answer of the platform is known, so that it may still take effect.
	 * @param address - Its address if it is not listed, empty if that is not known.
	 */
	addOrdered(group: string, id: string, address = ''): void {
		if (this.#watched.get(group)?.get(id)?.isOrdered !== true) {
			this.#add(this.dependencies.instances.getInstance(id) ?? this.#departed.get(id)?.instance ?? createUnlisted(group, id, address), true);
		}
	}

	/** Removes an instance whose ordered promotion has taken effect. */
	removeOrdered(group: string, id: string): void {
		this.#watched.get(group)?.delete(id);
	}

	/** Records that this VM orders a promotion. */
	beginOrder(group: string, id: string): void {
		this.#runningOrders.set(group, id);
	}

	/** Records that the answer to an order of this VM has arrived, or is no longer awaited. */
	endOrder(group: string, id: string, isAnswered: boolean): void {
		this.#runningOrders.delete(group);
		if (!isAnswered) {
			this.addOrdered(group, id);
		}
	}

	/** Returns the orders of promotions in a group that may still take effect. */
	getPendingOrders(group: string): PendingOrder[] {
		const unanswered = this.#getWatched(group).flatMap(([instanceId, {isOrdered, instance: {address}}]) => isOrdered ? [{instanceId, address}] : []);
		const runningId = this.#runningOrders.get(group);
		return runningId === undefined || unanswered.some(({instanceId}) => instanceId === runningId)
			? unanswered
			: [...unanswered, {instanceId: runningId, address: this.dependencies.instances.getInstance(runningId)?.address ?? ''}];
	}

	/** Returns whether the last check found an instance in a later term than a known one. */
	hasFoundPromotion({group, revision}: GroupTerm): boolean {
		const check = this.#lastChecks.get(group);
		return check?.result === 'promoted' && check.revision === revision;
	}

	/** Asks the watched instances of a group if that is due; for the coordinator, which replaces a primary that has a successor. */
	async checkIfDue(group: string): Promise<void> {
		if (this.#isWatching(group) && this.dependencies.clock.now() - (this.#lastChecks.get(group)?.startedAt ?? Number.NEGATIVE_INFINITY) >= checkIntervalMs) {
			await this.#requestCheck(group);
		}
	}

	/** Waits until a write may be sent to the primary of a group; returns false if it must not be sent, or it is not known in time whether it may. */
	async waitUntilWritable(group: string): Promise<boolean> {
		const {clock} = this.dependencies;
		const check = this.#lastChecks.get(group);
		const isChecked = check?.result === 'clear' && check.revision === this.#getRevision(group) && clock.now() - check.startedAt <= maxCheckAgeMs;
		return !this.#isWatching(group) || isChecked || this.#waitUntilClear(group, sendWaitTimeoutMs);
	}

	/** Waits until it is known that a write which the primary of a group has acknowledged was committed before any promotion; returns false if that is not the case, or not known in time. */
	async waitUntilWriteIsConfirmed(group: string): Promise<boolean> {
		return !this.#isWatching(group) || this.#waitUntilClear(group, answerWaitTimeoutMs);
	}

	async #waitUntilClear(group: string, timeoutMs: number): Promise<boolean> {
		const {clock, metrics} = this.dependencies;
		const deadline = clock.now() + timeoutMs;
		do {
			if (await this.#requestCheck(group) === 'clear') {
				return true;
			}

			await delay(retryDelayMs);
		} while (clock.now() < deadline);

		metrics.addCount('writes_unconfirmed');
		return false;
	}

	/** Returns the result of a check that begins after this call. */
	async #requestCheck(group: string): Promise<CheckResult> {
		const next = this.#nextChecks.get(group) ?? this.#startAfter(group, this.#runningChecks.get(group));
		this.#nextChecks.set(group, next);
		return next;
	}

	async #startAfter(group: string, running: Promise<CheckResult> | undefined): Promise<CheckResult> {
		await running;
		this.#nextChecks.delete(group);
		const check = this.#check(group).finally(() => {
			this.#runningChecks.delete(group);
		});
		this.#runningChecks.set(group, check);
		return check;
	}

	async #check(group: string): Promise<CheckResult> {
		const {terms, clock, log} = this.dependencies;
		const startedAt = clock.now();
		const term = terms.getTerm(group);
		const results = await Promise.all(this.#getCandidates(group).map(async ([id, watched]) => this.#checkInstance(id, watched, term)));
		const result = results.find(each => each === 'promoted') ?? results.find(each => each === 'unknown') ?? 'clear';
		if (result === 'promoted' && term !== undefined && this.#lastChecks.get(group)?.result !== 'promoted') {
			log.logEvent('promotion.found', {
				group, term: term.term, primary: term.primaryId, watched: this.#getCandidates(group).map(([id]) => id).join(', '),
			});
		}

		this.#lastChecks.set(group, {startedAt, result, revision: term?.revision});
		return result;
	}

	async #checkInstance(id: string, watched: WatchedInstance, term: GroupTerm | undefined): Promise<CheckResult> {
		const {statusReader, instances, clock} = this.dependencies;
		if (watched.instance.address === '' || clock.now() < watched.goneUntil) {
			return 'clear';
		}

		const reading = await statusReader.readProcess(watched.instance, statusTimeoutMs);
		if (reading === 'busy') {
			return 'unknown';
		}

		if (reading === 'unreachable') {
			const isGone = instances.getInstance(id) === undefined;
			watched.goneUntil = isGone ? clock.now() + goneRetentionMs : watched.goneUntil;
			return isGone ? 'clear' : 'unknown';
		}

		const isLater = typeof reading !== 'string' && term !== undefined && reading.status.term > term.term;
		if (!isLater && !watched.isOrdered) {
			this.#watched.get(watched.instance.group)?.delete(id);
		}

		return isLater ? 'promoted' : 'clear';
	}

	#handleInstanceChange(before: Instance | undefined, after: Instance | undefined): void {
		this.#removeOutdated();
		if (after === undefined) {
			this.#departed.set(before!.id, {instance: before!, at: this.dependencies.clock.now()});
			return;
		}

		this.#departed.delete(after.id);
		const watched = this.#watched.get(after.group)?.get(after.id);
		if (watched !== undefined) {
			watched.instance = after;
			watched.goneUntil = Number.NEGATIVE_INFINITY;
		}

		const term = this.dependencies.terms.getTerm(after.group);
		const hasBecomePrimary = after.reportedRole === 'primary' && before?.reportedRole !== 'primary';
		if (watched === undefined && hasBecomePrimary && term?.phase === 'open' && term.primaryId !== after.id) {
			this.#add(after, false);
		}
	}

	#add(instance: Instance, isOrdered: boolean): void {
		const {clock, log} = this.dependencies;
		const {group, id} = instance;
		const watched = this.#watched.get(group) ?? new Map<string, WatchedInstance>();
		this.#watched.set(group, watched.set(id, {
			since: clock.now(), isOrdered, instance, goneUntil: Number.NEGATIVE_INFINITY,
		}));
		log.logEvent('promotion.watched', {group, instance: id, reason: isOrdered ? 'an order without a known answer' : 'its entry'});
	}

	#isWatching(group: string): boolean {
		return this.#getCandidates(group).length > 0;
	}

	/** Returns the watched instances of a group but for its primary, for which a late order changes nothing. */
	#getCandidates(group: string): Array<[string, WatchedInstance]> {
		return this.#getWatched(group).filter(([id]) => id !== this.dependencies.terms.getTerm(group)?.primaryId);
	}

	/** Returns the watched instances of a group, also its primary. */
	#getWatched(group: string): Array<[string, WatchedInstance]> {
		const watched = this.#watched.get(group);
		if (watched === undefined) {
			return [];
		}

		const oldest = this.dependencies.clock.now() - instanceRetentionMs;
		for (const [id, {since}] of watched) {
			if (since < oldest) {
				watched.delete(id);
			}
		}

		return [...watched];
	}

	#removeOutdated(): void {
		const oldest = this.dependencies.clock.now() - instanceRetentionMs;
		for (const [id, {at}] of this.#departed) {
			if (at < oldest) {
				this.#departed.delete(id);
			}
		}
	}

	#getRevision(group: string): number | undefined {
		return this.dependencies.terms.getTerm(group)?.revision;
	}
}

async function delay(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
