/** Time for which a waiting operation of a gateway waits for a busy connection or a free slot before it opens a connection, in milliseconds: two handshakes; most statements are done by then. */
const openingDelayMs = 30;

/** State of a gateway's connections to an instance, for an operation that waits there. */
export type GatewayOpeningState = {
	/** Connections that are in use or being opened. */
	readonly busyCount: number;
	/** Number of statements that the instance runs at once. */
	readonly slots: number;
	/** Whether the account of the operation has a connection. */
	readonly hasConnection: boolean;
	readonly waitedMs: number;
};

/** Whether a connection may be opened, and whether one of another account may be closed for it. */
export type GatewayOpening = {
	readonly canOpen: boolean;
	readonly mayEvict: boolean;
};

/**
 * Checks whether a gateway opens another connection for an operation. A handshake takes a slot of the instance, so it is useless while
 * the gateway alone fills the slots, unless the account would get no connection at all.
 */
export function checkGatewayOpening({busyCount, slots, hasConnection, waitedMs}: GatewayOpeningState): GatewayOpening {
	const isPatient = waitedMs < openingDelayMs;
	return {canOpen: busyCount < slots || (!hasConnection && !isPatient), mayEvict: !hasConnection || !isPatient};
}
