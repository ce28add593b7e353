import {comparePositions, type LogPosition} from '@chicorysaddle/model';
import {getMajority} from '../leases/lease-candidate.js';

/** Response of an instance that was asked to accept a new term. */
export type PromotionFenceResponse = {
	readonly instance: string;
	readonly accepted: boolean;
	/** Highest term that the instance has accepted. */
	readonly term: number;
	readonly position: LogPosition;
};

/** Next action of a promoter. */
export type PromotionCommand =
	| {readonly kind: 'wait'}
	| {readonly kind: 'promote'; readonly instance: string; readonly term: number}
	/** An instance has accepted this term from another promoter, or a later term. */
	| {readonly kind: 'give-up'; readonly seenTerm: number};

/**
 * One attempt to promote a new primary in a group.
 * First a majority of the instances has to accept the new term, after which it refuses every older one.
 * A write is acknowledged only when two instances hold it, so in a group of three the instance of that majority
 * with the latest position holds all acknowledged writes.
 */
export class PromotionRound {
	readonly #accepted: PromotionFenceResponse[] = [];
	#isOver = false;
	#majorityAt: number | undefined;

	/**
	 * @param term - Term of the new primary.
	 * @param instances - Every instance of the group.
	 * @param graceMs - Time to wait for late responses after a majority has accepted, in milliseconds.
	 * @param failingPrimary - Instance to replace; it is promoted again only if there is no majority without it.
	 * @param excluded - Instances in evacuated zones. They accept the term, which may need them for its majority, but are not promoted.
	 */
	constructor(
		readonly term: number,
		private readonly instances: readonly string[],
		private readonly graceMs: number,
		private readonly failingPrimary?: string,
		private readonly excluded: ReadonlySet<string> = new Set(),
	) {}

	/** Handles the response of an instance. */
	handleFenceResponse(answer: PromotionFenceResponse, now: number): PromotionCommand {
		if (this.#isOver) {
			return {kind: 'wait'};
		}

		if (!answer.accepted && answer.term >= this.term) {
			this.#isOver = true;
			return {kind: 'give-up', seenTerm: answer.term};
		}

		if (answer.accepted && !this.#accepted.some(other => other.instance === answer.instance)) {
			this.#accepted.push(answer);
		}

		return this.advance(now);
	}

	/** Chooses the new primary once a majority has accepted and the wait for late responses has ended. */
	advance(now: number): PromotionCommand {
		if (this.#isOver || this.#accepted.length < getMajority(this.instances.length)) {
			return {kind: 'wait'};
		}

		this.#majorityAt ??= now;
		if (this.#accepted.length < this.instances.length && now < this.#majorityAt + this.graceMs) {
			return {kind: 'wait'};
		}

		this.#isOver = true;
		const others = this.#accepted.filter(answer => answer.instance !== this.failingPrimary);
		const candidates = others.length >= getMajority(this.instances.length) ? others : this.#accepted;
		const sorted = candidates.toSorted((a, b) => comparePositions(b.position, a.position) || (a.instance < b.instance ? -1 : 1));
		// An instance that lacks a position of an excluded one may lack an acknowledged write; a later round finds it caught up.
		const successor = sorted.find(answer => !this.excluded.has(answer.instance) && comparePositions(answer.position, sorted[0]!.position) === 0);
		return successor === undefined ? {kind: 'wait'} : {kind: 'promote', instance: successor.instance, term: this.term};
	}
}
