import {minInstanceCount} from '../freshness/surveyed-position.js';

/** Role and term that an instance states. */
export type InstanceRole = {
	readonly id: string;
	readonly role: 'primary' | 'replica';
	readonly term: number;
};

/** Order of a promotion. */
export type PromotionOrder = {
	readonly instanceId: string;
	/** Term of the instance before the order; it leads a later one once the promotion has taken effect. */
	readonly instanceTerm: number;
};

/** What the row of a closing term records about the change of primary. */
export type PromotionRecord = {
	/** Fencing token of the coordinator that wrote the record. */
	readonly token: number;
	/** Primary of the term that closed. */
	readonly formerPrimaryId: string;
	/** Last order, written before it was given; absent if none was given since the term closed. */
	readonly order?: PromotionOrder | undefined;
};

/** Last promotion that was ordered since a term closed; `unknown`: a coordinator may have ordered one without recording it. */
export type OrderedPromotion = PromotionOrder | 'none' | 'unknown';

/** Time after an accepted order after which a primary that still leads its former term was the primary already, in milliseconds: several times the promotion time that deployments state. */
export const confirmationMs = 2500;

/**
 * Returns the last promotion that was ordered since a term closed.
 * @param record - Record in the term's row, absent if a former build wrote the row.
 * @param token - Fencing token of the present coordinator.
 */
export function getOrderedPromotion(record: PromotionRecord | undefined, token: number): OrderedPromotion {
	// A coordinator of a former build between the writer of the record and the present one would have left the record as it was.
	const isComplete = record !== undefined && (record.token === token || record.token === token - 1);
	return isComplete ? record.order ?? 'none' : 'unknown';
}

/**
 * Returns whether a recorded order has taken effect: an instance is in a later term than any was before the order, and no other order can be the cause.
 * @param orderedTerm - Newest term that an instance stated before the order, as the row of the closing term has it.
 * @param newestTerm - Newest term that an instance states now.
 * @param pendingCount - Number of orders without a known answer that the row has besides.
 */
export function hasTakenEffect(orderedTerm: number, newestTerm: number, pendingCount: number): boolean {
	return pendingCount === 0 && newestTerm > orderedTerm;
}

/**
 * Finds the instance that is a group's primary according to the record: the former one if no promotion was ordered, else the ordered one once it leads a later term.
 * Returns undefined if the record does not tell: an instance that does not answer may lead a later term than those that do.
 */
export function findRecordedPrimary<Reading extends InstanceRole>(former: {readonly id: string; readonly term: number}, ordered: Exclude<OrderedPromotion, 'unknown'>, readings: readonly Reading[]): Reading | undefined {
	return readings.find(({id, role, term}) => role === 'primary' && (ordered === 'none' ? id === former.id && term === former.term : id === ordered.instanceId && term > ordered.instanceTerm));
}

/**
 * Finds a group's primary where no record tells it, once an order that was given before can no longer be pending: every instance has to answer, because any one that does not may have been promoted.
 * @param expectedCount - Number of instances that the group has.
 */
export function findSurveyedPrimary<Reading extends InstanceRole>(readings: readonly Reading[], expectedCount: number): Reading | undefined {
	const newestTerm = Math.max(...readings.map(({term}) => term));
	return readings.length >= Math.max(minInstanceCount, expectedCount) ? readings.find(({role, term}) => role === 'primary' && term === newestTerm) : undefined;
}

/**
 * Sorts the instances that answer by which one to promote first after an interruption; those of the same rank keep their order.
 * A primary of the newest term of all probably is the group's primary already, and the last order may still take effect.
 * @param closedTerm - Number of the term that closed.
 */
export function rankResumedCandidates<Reading extends InstanceRole>(candidates: readonly Reading[], closedTerm: number, orderedId: string | undefined): Reading[] {
	const newestTerm = Math.max(...candidates.map(({term}) => term));
	const getRank = ({id, role, term}: Reading) => {
		const isNewestPrimary = role === 'primary' && term === newestTerm;
		if (isNewestPrimary && term > closedTerm) {
			return 0;
		}

		return id === orderedId ? 1 : (isNewestPrimary ? 2 : 3);
	};

	return candidates.toSorted((a, b) => getRank(a) - getRank(b));
}

/**
 * Returns whether an instance is the primary after an accepted order: it leads a later term, or nothing has changed because it was the primary already.
 * @param wasPrimary - Whether it stated so before the order.
 * @param acceptedMs - Time since the order was accepted, in milliseconds.
 */
export function isOrderComplete({instanceTerm}: PromotionOrder, wasPrimary: boolean, {role, term}: Pick<InstanceRole, 'role' | 'term'>, acceptedMs: number): boolean {
	return role === 'primary' && (term > instanceTerm || (wasPrimary && acceptedMs >= confirmationMs));
}
