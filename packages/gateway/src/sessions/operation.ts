import {isAtLeast, type LogPosition, type Refusal} from '@chicorysaddle/model';
import {type ClientAccount, type DatabaseRoute} from '../configuration/index.js';
import {type SessionValues} from '../dispatch/index.js';
import {type TermRegistry} from '../terms/index.js';
import {type OwnCommit} from './session-commits.js';
import {type SessionDependencies} from './session-dependencies.js';

/** One statement outside a transaction, or one transaction. */
export type Operation = {
	/** Id of its first statement. */
	readonly id: string;
	readonly route: DatabaseRoute;
	/** Account name that is sent to instances. */
	readonly account: string;
	/** Monotonic time at which its first statement arrived, in milliseconds. */
	readonly startedAt: number;
	readonly session: SessionValues;
	/** Log position of the session's newest commit in the group of the route, undefined before the first one. */
	readonly lastCommit: LogPosition | undefined;
	/** Monotonic time at which that commit was acknowledged, in milliseconds. */
	readonly lastCommitAt?: number | undefined;
	/** Whether an instance may have run any of it. */
	mayHaveRun: boolean;
};

/** An admitted operation, or the refusal of the request; a final refusal closes the session. */
export type AdmissionResult = {readonly kind: 'begun'; readonly operation: Operation} | {readonly kind: 'refused'; readonly refusal: Refusal; readonly isFinal: boolean};

/** Account name of callers without an account on routes that allow anonymous access. */
export const anonymousAccount = 'anonymous';

/** Part of a route's staleness bound that is reserved for the transit to the instance, in milliseconds. */
const stalenessMarginMs = 20;

/** Time without a term lease before the instances are asked, in milliseconds: a VM that restarts with all others has its lease by then, and their handshakes would fill the slots. */
const minMsBeforeSurvey = 1000;

/** Maximum number of surveys for which an operation waits. */
const maxSurveys = 2;

/** Chooses the account name of an operation; returns undefined when the key does not grant access to the route. */
export function chooseAccountName(route: DatabaseRoute, account: ClientAccount | undefined): string | undefined {
	return account?.name ?? (route.allowsAnonymous ? anonymousAccount : undefined);
}

/** Returns the log position that a replica must have reached to serve an operation's reads, undefined when only the primary may serve them. */
export function getRequiredPosition(operation: Operation, terms: TermRegistry): LogPosition | undefined {
	return operation.route.consistency === 'primary' ? undefined : getCoveringPosition(operation, terms);
}

/**
 * Returns the position as {@link getRequiredPosition} does. If this VM has had no term lease for a while and knows no position that covers the commits that the
 * reads have to see, it asks the instances first; then a replica may serve reads of a `primary` route too.
 */
export async function fetchRequiredPosition(operation: Operation, {terms, surveyor}: Pick<SessionDependencies, 'terms' | 'surveyor'>): Promise<LogPosition | undefined> {
	let position = getRequiredPosition(operation, terms);
	// A survey that runs already may have begun before the operation arrived.
	for (let attempt = 0; attempt < maxSurveys && position === undefined && terms.getMsWithoutLease() >= minMsBeforeSurvey; attempt++) {
		await surveyor.probePosition(operation.route.group);
		position = getCoveringPosition(operation, terms);
	}

	return position;
}

/** Returns the lowest known log position that covers every commit that an operation's reads have to see, undefined if none is known. */
function getCoveringPosition({route, startedAt, lastCommit}: Operation, terms: TermRegistry): LogPosition | undefined {
	const acceptedAgeMs = route.consistency === 'primary' ? 0 : Math.max(0, route.maxStalenessMs - stalenessMarginMs);
	const covering = terms.getPositionCovering(route.group, startedAt - acceptedAgeMs);
	if (covering === undefined || route.consistency !== 'read-your-writes' || lastCommit === undefined) {
		return covering;
	}

	return isAtLeast(covering, lastCommit) ? covering : lastCommit;
}

/** Returns the time at which the session's own commit at a required position was acknowledged, in milliseconds; undefined if the position is not that of the commit. */
export function getCommitTime({lastCommit, lastCommitAt}: OwnCommit, requiredPosition: LogPosition | undefined): number | undefined {
	return requiredPosition === lastCommit ? lastCommitAt : undefined;
}
