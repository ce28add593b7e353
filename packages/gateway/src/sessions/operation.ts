import {isAtLeast, type LogPosition, type Refusal} from '@chicorysaddle/model';
import {type ClientAccount, type DatabaseRoute} from '../configuration/index.js';
import {type SessionValues} from '../dispatch/index.js';
import {type TermRegistry} from '../terms/index.js';

/** One statement outside a transaction, or one transaction. */
export type Operation = {
	readonly id: string;
	readonly route: DatabaseRoute;
	/** Name that instances are told. */
	readonly account: string;
	/** Steady time at which its first byte was in, milliseconds. */
	readonly startedAt: number;
	readonly session: SessionValues;
	/** Newest commit of the session. */
	readonly lastCommit: LogPosition | undefined;
	/** Whether an instance may have run any of it. */
	mayHaveRun: boolean;
};

/** Operation that may begin, or why it may not. */
export type AdmissionResult = {readonly kind: 'begun'; readonly operation: Operation} | {readonly kind: 'refused'; readonly refusal: Refusal; readonly isFinal: boolean};

/** Account name for callers of routes that are open to all. */
export const anonymousAccount = 'anonymous';

/** Part of a route's staleness that is left for the way to the instance, milliseconds. */
const stalenessMarginMs = 20;

/** Returns the account that an operation runs for, undefined when the key does not open the route. */
export function chooseAccountName(route: DatabaseRoute, account: ClientAccount | undefined): string | undefined {
	return account?.name ?? (route.allowsAnonymous ? anonymousAccount : undefined);
}

/**
 * Returns the position that a replica has to hold to serve an operation's reads.
 * @returns The position, or undefined when only the primary may serve them.
 */
export function getRequiredPosition({route, startedAt, lastCommit}: Operation, terms: TermRegistry): LogPosition | undefined {
	if (route.consistency === 'primary') {
		return undefined;
	}

	const covering = terms.getPositionCovering(route.group, startedAt - Math.max(0, route.maxStalenessMs - stalenessMarginMs));
	if (covering === undefined || route.consistency === 'bounded' || lastCommit === undefined) {
		return covering;
	}

	return isAtLeast(covering, lastCommit) ? covering : lastCommit;
}
