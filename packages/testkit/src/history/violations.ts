/** Names of the lines that must always hold. */
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

export type ViolationName = (typeof violationNames)[number];

/** Number of violations of each line. */
export type ViolationCounts = Record<ViolationName, number>;
