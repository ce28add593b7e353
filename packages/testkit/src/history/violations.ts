/** Names of the invariants that are checked on a history; they are part of the JSON output. */
export const violationNames = [
	'readYourWrites',
	'oldPrimaryAck',
	'mixedTransactions',
	'wrongAccount',
	'keySeenByEndpoint',
	'withdrawnKeyServed',
	'overRate',
	'crossedAnswer',
	'falseNotRun',
	'ranTwice',
	'workAfterLeaving',
	'cutByShutdown',
	'configReverted',
	'lostWrite',
] as const;

/** Name of a checked invariant. */
export type ViolationName = (typeof violationNames)[number];

/** Number of violations of each invariant. */
export type ViolationCounts = Record<ViolationName, number>;
