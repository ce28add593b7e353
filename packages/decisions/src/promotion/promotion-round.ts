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
 * two instances hold it, so any majority of three that has accepted the term holds all acknowledged writes: its most
 * advanced instance has them.
 */
export class PromotionRound {
	readonly #accepted: FenceAnswer[] = [];
	#isOver = false;
	#majorityAt: number | undefined;

	/**
	 * @param term - Term to take.
	 * @param instances - Every instance of the group.
	 * @param graceMs - Time that late answers are waited for once a majority has accepted.
	 * @param failingPrimary - Instance that is being replaced; it leads again only where no majority is left without it.
	 */
	constructor(readonly term: number, private readonly instances: readonly string[], private readonly graceMs: number, private readonly failingPrimary?: string) {}

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
		const others = this.#accepted.filter(answer => answer.instance !== this.failingPrimary);
		const candidates = others.length >= getMajority(this.instances.length) ? others : this.#accepted;
		const successor = candidates.toSorted((a, b) => comparePositions(b.position, a.position) || (a.instance < b.instance ? -1 : 1))[0]!;
		return {kind: 'promote', instance: successor.instance, term: this.term};
	}
}
