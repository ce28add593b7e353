import {comparePositions, type LogPosition} from '@chicorysaddle/model';
import {getMajority} from '../leases/lease-candidate.js';

/** Answer of an instance that was told a new term. */
export type FenceAnswer = {
	readonly instance: string;
	readonly accepted: boolean;
	/** Highest term that the instance has accepted. */
	readonly term: number;
	readonly position: LogPosition;
};

/** What a promoter does next. */
export type PromotionCommand =
	| {readonly kind: 'wait'}
	| {readonly kind: 'promote'; readonly instance: string; readonly term: number}
	/** Another promoter holds this term or a later one. */
	| {readonly kind: 'give-up'; readonly seenTerm: number};

/**
 * One attempt to give a group a new primary.
 * A majority of the instances has to refuse every older term first. A write is acknowledged only when
 * two instances hold it, so every majority of three holds one with all acknowledged writes: the most advanced.
 */
export class PromotionRound {
	readonly #accepted: FenceAnswer[] = [];
	#isOver = false;

	/**
	 * @param term - Term to take.
	 * @param instances - Every instance of the group.
	 * @param graceMs - Time that late answers are waited for once a majority has accepted.
	 */
	constructor(readonly term: number, private readonly instances: readonly string[], private readonly graceMs: number) {}

	#majorityAt: number | undefined;

	/** Takes in an answer. */
	observeAnswer(answer: FenceAnswer, now: number): PromotionCommand {
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

	/** Decides once a majority has accepted and late answers have had their time. */
	advance(now: number): PromotionCommand {
		if (this.#isOver || this.#accepted.length < getMajority(this.instances.length)) {
			return {kind: 'wait'};
		}

		this.#majorityAt ??= now;
		if (this.#accepted.length < this.instances.length && now < this.#majorityAt + this.graceMs) {
			return {kind: 'wait'};
		}

		this.#isOver = true;
		const successor = this.#accepted.toSorted((a, b) => comparePositions(b.position, a.position) || (a.instance < b.instance ? -1 : 1))[0]!;
		return {kind: 'promote', instance: successor.instance, term: this.term};
	}
}
