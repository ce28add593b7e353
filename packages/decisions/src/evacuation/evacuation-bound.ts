/**
 * What may be sent to an instance: `none` means no connection, statement or status request; `work-in-progress` means the
 * statements of open transactions, the operations of a primary that is not replaced yet, and the requests of its planned change.
 */
export type InstanceAccess = 'none' | 'work-in-progress' | 'all';

/** Time until every connected VM knows of an evacuation, including the transit of its last statement, in milliseconds; the same as for a draining instance. */
const propagationMs = 2500;

/** Maximum fraction of the bound that is kept for propagation, so that a short bound leaves some time for open transactions. */
const maxPropagationFraction = 0.5;

/**
 * Returns the time for which work in progress may go on after a VM learned of an evacuation, in milliseconds.
 * @param boundMs - Time after the start of an evacuation from which nothing may be sent, in milliseconds.
 */
export function getWorkMs(boundMs: number): number {
	return boundMs - Math.min(propagationMs, boundMs * maxPropagationFraction);
}

/**
 * Returns what may be sent to an instance.
 * @param evacuatedForMs - Time since this VM learned of the evacuation of the instance's zone, in milliseconds; undefined if the zone is not evacuated.
 * @param boundMs - Time after the start of an evacuation from which nothing may be sent, in milliseconds.
 */
export function getInstanceAccess(evacuatedForMs: number | undefined, boundMs: number): InstanceAccess {
	if (evacuatedForMs === undefined) {
		return 'all';
	}

	return evacuatedForMs < getWorkMs(boundMs) ? 'work-in-progress' : 'none';
}
