import {countCodec, createMapCodec, finiteNumberCodec} from '@chicorysaddle/model';
import {
	array, boolean, Codec, exactly, type GetType, oneOf, optional, string, tuple,
} from 'purify-ts';
import {
	forwardAnswerCodec, forwardCancelCodec, forwardCodec, forwardEndCodec, forwardOpenCodec, forwardOpenedCodec, forwardProgressCodec,
} from './forwarding-messages.js';
import {positionCodec} from './position-codec.js';

/** Log position of a primary, and its age when the message was sent. */
const positionReportCodec = Codec.interface({position: positionCodec, ageMs: finiteNumberCodec});

/** Log position of a group's primary and its age: group, term, offset, and age when the message was sent, in milliseconds. */
const compactPositionCodec = tuple([string, finiteNumberCodec, finiteNumberCodec, finiteNumberCodec]);

/** Observations of a group's primary by one VM. */
const evidenceReportCodec = Codec.interface({
	instanceId: string,
	/** Time since the last response, in milliseconds; absent if there was none. */
	answeredAgoMs: optional(finiteNumberCodec),
	/** Time for which every attempt has failed, in milliseconds; absent while the primary responds. */
	failingForMs: optional(finiteNumberCodec),
	/** Whether the failures were refused connections; absent means false. */
	isRefused: optional(boolean),
});

/** Term and primary of a group, as in the given revision of its row in the store. */
const groupTermCodec = Codec.interface({
	group: string,
	term: countCodec,
	primaryId: string,
	phase: oneOf([exactly('open'), exactly('closing')]),
	/** Time that running writes get to finish when the term closes, in milliseconds. */
	drainMs: finiteNumberCodec,
	revision: countCodec,
	/** Orders of promotions without a known answer, with the addresses of their instances; absent if there are none, and from former builds. */
	pendingOrders: optional(array(Codec.interface({instanceId: string, address: string}))),
});

/** An instance of a database group, as sent between VMs. */
const instanceEntryCodec = Codec.interface({
	id: string,
	group: string,
	address: string,
	zone: string,
	slots: finiteNumberCodec,
	state: oneOf([exactly('ready'), exactly('draining')]),
	reportedRole: oneOf([exactly('primary'), exactly('replica')]),
	bornMs: finiteNumberCodec,
	/** Time for which the instance stayed cold when its entry was written, in milliseconds; absent unless it is cold. */
	coldRemainingMs: optional(finiteNumberCodec),
});

/** Time stamp of the newest coordinator report and the time since its arrival; from both the coordinator computes the earliest time at which a heartbeat was sent. */
const echoCodec = Codec.interface({stampMs: finiteNumberCodec, ageMs: finiteNumberCodec});

/** Transfer of a configuration to a VM and from it; present only for a large configuration or with several regions. */
const configurationTransferCodec = Codec.interface({
	/** Bytes that the sender has received of a newer configuration; absent while it receives none. */
	receivedBytes: optional(finiteNumberCodec),
	/** Peer address of a source that has just stopped answering the sender. */
	failedSource: optional(string),
	/** Peer address at which the sender offers its configuration in parts; present while the coordinator has an older one. */
	offeredAt: optional(string),
});

const classNumbersCodec = tuple([finiteNumberCodec, finiteNumberCodec, finiteNumberCodec]);

/**
 * Load of one queue of a group: group, target, waiting requests of the classes high, normal and low, placements per second of these classes, number of accounts
 * that have waiting requests, and the waiting requests of those that have the most.
 */
const queueLoadCodec = tuple([string, oneOf([exactly('primary'), exactly('any')]), classNumbersCodec, classNumbersCodec, finiteNumberCodec, createMapCodec(finiteNumberCodec)]);

/** Load of a queue, summed over VMs, the number of VMs on which requests wait, and the mean age when the message was sent, in milliseconds. */
const summedLoadCodec = Codec.interface({load: queueLoadCodec, vms: finiteNumberCodec, ageMs: finiteNumberCodec});

/** Operations in the window of the limits by slots of a fiftieth of it, the newest first. */
const usageCountsCodec = array(finiteNumberCodec);

/** Usage of an account on the sender in the last window: account, operations that it admitted without tokens and has not reported yet, and all. */
const accountUsageCodec = tuple([string, usageCountsCodec, usageCountsCodec]);

/** Usage of an account over all VMs in the window that ended with the sender's last grant: account, operations, and age in milliseconds. */
const statedUsageCodec = tuple([string, finiteNumberCodec, finiteNumberCodec]);

/** Codec of the complete status report of a VM to the coordinator. */
export const heartbeatCodec = Codec.interface({
	kind: exactly('heartbeat'),
	vm: string,
	incarnation: string,
	sequence: finiteNumberCodec,
	positions: createMapCodec(positionReportCodec),
	evidence: createMapCodec(evidenceReportCodec),
	/** Newest revision of each group's term that this VM has adopted, without the store's era; former builds read only this. */
	revisions: createMapCodec(finiteNumberCodec),
	/** The same with the store's era. */
	storeRevisions: optional(createMapCodec(finiteNumberCodec)),
	configurationVersion: finiteNumberCodec,
	/** Version of the evacuated zones that this VM knows; absent if it never knew of an evacuation. */
	evacuationVersion: optional(finiteNumberCodec),
	/** Revision of the instance list that this VM received last; absent if it reads the list from the store. */
	instanceRevision: optional(string),
	configurationTransfer: optional(configurationTransferCodec),
	echo: optional(echoCodec),
	/** Writes per second that the sender sends to the primary of each group; absent if there are none, or all zones are in one region. */
	writesPerS: optional(createMapCodec(finiteNumberCodec)),
	/** Loads of the queues in which requests wait; absent if there are none. */
	loads: optional(array(queueLoadCodec)),
	/** Whether the sender reads compact reports; absent means false. */
	readsCompactReports: optional(boolean),
	/** Availability zone and peer address, with which the coordinator registers the sender in the store; a VM that sends neither registers itself. */
	registration: optional(Codec.interface({
		zone: string,
		address: string,
		/** Region of the zone; absent where all zones are in one region. */
		region: optional(string),
		/** Optional kinds of messages that the sender reads, by feature; absent means none. */
		features: optional(array(string)),
		/** Capacity of the sender relative to the largest VMs; only with the feature `forwarding`. */
		capacity: optional(finiteNumberCodec),
		/** Whether the sender is shutting down; only with the feature `forwarding`. */
		isDraining: optional(boolean),
	})),
	/** Revision of the member list that this VM has; absent if it has none. */
	memberRevision: optional(string),
	/** Time since the start of the sender's process, in milliseconds; absent from former builds. */
	uptimeMs: optional(finiteNumberCodec),
	/** Usage of the accounts that have operations in the window of the limits; absent from former builds. */
	accountUsage: optional(array(accountUsageCodec)),
	/** Usage over all VMs as grants stated it; absent from former builds. */
	statedUsage: optional(array(statedUsageCodec)),
});

/**
 * Codec of a heartbeat that contains what changed since the previous one on the same link.
 * It applies to the heartbeat with sequence number `base`; a coordinator without that one requests a complete heartbeat.
 */
export const heartbeatDeltaCodec = Codec.interface({
	kind: exactly('heartbeat-delta'),
	base: finiteNumberCodec,
	sequence: finiteNumberCodec,
	positions: array(compactPositionCodec),
	evidence: createMapCodec(evidenceReportCodec),
	/** Revisions of terms, with the store's era. */
	revisions: createMapCodec(finiteNumberCodec),
	configurationVersion: finiteNumberCodec,
	evacuationVersion: optional(finiteNumberCodec),
	instanceRevision: optional(string),
	configurationTransfer: optional(configurationTransferCodec),
	memberRevision: optional(string),
	echo: optional(echoCodec),
	/** Writes per second that the sender sends to the primary of each group; absent if there are none, or all zones are in one region. */
	writesPerS: optional(createMapCodec(finiteNumberCodec)),
	/** Loads of all queues in which requests wait, also unchanged ones; absent if there are none. */
	loads: optional(array(queueLoadCodec)),
});

/** Codec of a request for a complete heartbeat. */
export const heartbeatRequestCodec = Codec.interface({kind: exactly('heartbeat-request')});

/** A VM that can be the gateway of instances. */
const memberEntryCodec = Codec.interface({
	vm: string,
	zone: string,
	/** Region of the zone; absent where all zones are in one region. */
	region: optional(string),
	address: string,
	capacity: finiteNumberCodec,
	/** Whether the VM is shutting down; absent means false. */
	isDraining: optional(boolean),
});

/** Codec of the coordinator's response to a heartbeat; it is also sent when a term changes, then without a sequence number. */
export const coordinatorReportCodec = Codec.interface({
	kind: exactly('report'),
	sequence: optional(finiteNumberCodec),
	/** Monotonic time of the coordinator, in milliseconds. */
	stampMs: finiteNumberCodec,
	/** Fencing token of the coordinator. */
	token: countCodec,
	/** Version of the coordinator's row in the store. */
	dutyRevision: countCodec,
	/** Terms of all groups; absent if the VM's heartbeat shows that it has them. */
	terms: optional(array(groupTermCodec)),
	/** Whether the VM has to read the configuration from the store itself. */
	isFollower: boolean,
	/** Instance list; absent if the VM's heartbeat shows that it has this revision. */
	instances: optional(Codec.interface({revision: string, entries: array(instanceEntryCodec)})),
	/** Changes of the instance list since the revision that the VM's heartbeat shows, in place of the list; only in a compact report. */
	instanceChanges: optional(Codec.interface({
		base: string, revision: string, changed: array(instanceEntryCodec), removedIds: array(string),
	})),
	/** Newest positions; empty in a compact report. */
	positions: createMapCodec(positionReportCodec),
	/** Positions that were learned since the report that the heartbeat echoes, or all; only in a compact report. */
	compactPositions: optional(array(compactPositionCodec)),
	configurationVersion: finiteNumberCodec,
	/** Peer address of a VM that has this configuration; empty if the receiver has to wait for another report, absent if it has to read the store. */
	configurationSource: optional(string),
	/** Whether the configuration is fetched in parts: it is large, or there are several regions, and its source reads requests for parts; absent means false. */
	configurationParts: optional(boolean),
	/** Number of VMs that share the limits of accounts. */
	members: finiteNumberCodec,
	/** Version of the evacuated zones that the coordinator knows, 0 if it never knew of an evacuation; absent if the VM's heartbeat shows this version, but for the answer to a complete heartbeat. */
	evacuationVersion: optional(finiteNumberCodec),
	/** Evacuated zones, each with the time since the coordinator learned of it, in milliseconds; absent if the VM has this version. */
	evacuatedZones: optional(array(tuple([string, finiteNumberCodec]))),
	/** Rank of the VM among all VMs, by which they take turns at cold instances; absent while no instance is cold. */
	memberRank: optional(finiteNumberCodec),
	/** Loads over all VMs of the queues in which requests wait or waited shortly before; absent if there are none. */
	loads: optional(array(summedLoadCodec)),
	/** Whether the sender reads heartbeat deltas on this link; absent means false. */
	acceptsDeltas: optional(boolean),
	/** Revision of the member list; absent where connections are ample. */
	memberRevision: optional(string),
	/** The VMs that can be gateways; absent if the VM's heartbeat shows that it has this revision, or one to which `memberChanges` apply. */
	memberList: optional(array(memberEntryCodec)),
	/** Changes of the member list since the revision that the VM's heartbeat shows. */
	memberChanges: optional(Codec.interface({base: string, changed: array(memberEntryCodec), removedVms: array(string)})),
});

/** Codec of a request for the configuration that the receiver has. */
export const configurationRequestCodec = Codec.interface({kind: exactly('configuration-request')});

/** Codec of a response with the configuration, in the store's encoding. */
export const configurationReplyCodec = Codec.interface({kind: exactly('configuration-reply'), version: finiteNumberCodec, encoded: string});

/** Codec of a request for a part of the configuration; sent only to VMs that announced the feature `configuration-parts`. */
export const configurationPartRequestCodec = Codec.interface({
	kind: exactly('configuration-part-request'),
	/** Version that the sender has in force, to which changes would apply; 0 to get the whole configuration. */
	version: finiteNumberCodec,
	/** Digest of the configuration of which the sender has the bytes before the offset; absent if it has none. */
	digest: optional(string),
	offset: finiteNumberCodec,
});

/** Codec of a part of a compressed configuration, or of the changes between two versions. */
export const configurationPartCodec = Codec.interface({
	kind: exactly('configuration-part'),
	version: finiteNumberCodec,
	/** Version that the changes apply to; absent for a whole configuration. */
	base: optional(finiteNumberCodec),
	/** Digest of the configuration that results, uncompressed. */
	digest: string,
	/** Size of the whole content in bytes, of which this is a part. */
	size: finiteNumberCodec,
	offset: finiteNumberCodec,
	/** Bytes of the part in Base64. */
	data: string,
	/** Version of the store at which the sender knows the configuration to be the newest; absent if it does not know. */
	storeVersion: optional(finiteNumberCodec),
});

/** Codec of the response of a VM that is not the coordinator to a message for the coordinator. */
export const notCoordinatorCodec = Codec.interface({
	kind: exactly('not-coordinator'),
	/** Peer address of the coordinator; absent if it is not known. */
	coordinator: optional(string),
});

/**
 * Codec of a request for rate limit tokens by account: `needed` for waiting operations, of which `urgent` are urgent, and `extra` for those expected soon;
 * `admitted` are the operations of the last window that the sender admitted without tokens and has not reported yet, absent if there are none.
 */
export const tokenRequestCodec = Codec.interface({
	kind: exactly('token-request'), vm: string, sequence: finiteNumberCodec, wants: createMapCodec(Codec.interface({
		needed: finiteNumberCodec, urgent: optional(finiteNumberCodec), extra: finiteNumberCodec, admitted: optional(usageCountsCodec),
	})),
});

/** Codec of a response with rate limit tokens by account, the time until there are more, in milliseconds, and the operations that the account has left in its window; a former build does not state those. */
export const tokenGrantCodec = Codec.interface({
	kind: exactly('token-grant'), sequence: finiteNumberCodec, grants: createMapCodec(Codec.interface({
		count: finiteNumberCodec, waitMs: finiteNumberCodec, free: optional(finiteNumberCodec), used: optional(finiteNumberCodec),
	})),
});

/** Codec of an offer to hand over: asks a VM whether it reaches the store, or tells it to take over as coordinator because the sender has stopped coordinating. */
export const handOverOfferCodec = Codec.interface({
	kind: exactly('offer'),
	step: oneOf([exactly('ask'), exactly('take-over')]),
	/** What the sender knows of the usage of accounts, by account, and the percentages of all limits that it assumes besides; absent from former builds and when it asks. */
	usage: optional(Codec.interface({accounts: array(tuple([string, usageCountsCodec])), evenPercentage: finiteNumberCodec, burstPercentage: finiteNumberCodec})),
});

/** Codec of the response to an offer: the sender reaches the store and can become the coordinator. */
export const handOverAcceptanceCodec = Codec.interface({kind: exactly('acceptance'), vm: string, address: string});

const messageCodec = oneOf([handOverOfferCodec, handOverAcceptanceCodec, heartbeatCodec, heartbeatDeltaCodec, heartbeatRequestCodec, coordinatorReportCodec, tokenRequestCodec, tokenGrantCodec, configurationRequestCodec, configurationReplyCodec, configurationPartRequestCodec, configurationPartCodec, notCoordinatorCodec, forwardOpenCodec, forwardOpenedCodec, forwardCodec, forwardAnswerCodec, forwardProgressCodec, forwardCancelCodec, forwardEndCodec]);

/** Log position of a group's primary and its age, as a tuple. */
export type CompactPosition = GetType<typeof compactPositionCodec>;
/** Load of one queue of a group on one VM, as a tuple. */
export type QueueLoadMessage = GetType<typeof queueLoadCodec>;
/** Load of one queue of a group, summed over VMs. */
export type SummedLoadMessage = GetType<typeof summedLoadCodec>;
/** Term and primary of a group. */
export type GroupTermMessage = GetType<typeof groupTermCodec>;
/** Observations of a group's primary by one VM. */
export type EvidenceReport = GetType<typeof evidenceReportCodec>;
/** Log position of a primary, and its age when the message was sent. */
export type PositionReport = GetType<typeof positionReportCodec>;
/** Request for rate limit tokens. */
export type TokenRequest = GetType<typeof tokenRequestCodec>;
/** Response to a request for rate limit tokens. */
export type TokenGrantMessage = GetType<typeof tokenGrantCodec>;
/** Usage of an account on a VM, as a tuple. */
export type AccountUsageMessage = GetType<typeof accountUsageCodec>;
/** Offer to hand over the role of the coordinator. */
export type HandOverOffer = GetType<typeof handOverOfferCodec>;
/** What a coordinator knows of the usage of accounts, for its successor. */
export type IssuedUsageMessage = NonNullable<GetType<typeof handOverOfferCodec>['usage']>;
/** Requested tokens by account. */
export type TokenDemands = TokenRequest['wants'];
/** Granted tokens by account. */
export type TokenGrants = TokenGrantMessage['grants'];
/** Status report of a VM to the coordinator. */
export type Heartbeat = GetType<typeof heartbeatCodec>;
/** Changes since the previous status report of a VM. */
export type HeartbeatDelta = GetType<typeof heartbeatDeltaCodec>;
/** Response of the coordinator to a heartbeat. */
export type CoordinatorReport = GetType<typeof coordinatorReportCodec>;
/** A VM that can be the gateway of instances. */
export type MemberEntry = GetType<typeof memberEntryCodec>;
/** Response with a configuration. */
export type ConfigurationReply = GetType<typeof configurationReplyCodec>;
/** Request for a part of a configuration. */
export type ConfigurationPartRequest = GetType<typeof configurationPartRequestCodec>;
/** Part of a configuration. */
export type ConfigurationPart = GetType<typeof configurationPartCodec>;
/** Any message between VMs. */
export type PeerMessage = GetType<typeof messageCodec>;

const codecsByKind: Readonly<Record<string, {decode: (input: unknown) => ReturnType<typeof messageCodec.decode>}>> = {
	heartbeat: heartbeatCodec,
	'heartbeat-delta': heartbeatDeltaCodec,
	'heartbeat-request': heartbeatRequestCodec,
	report: coordinatorReportCodec,
	offer: handOverOfferCodec,
	acceptance: handOverAcceptanceCodec,
	'token-request': tokenRequestCodec,
	'token-grant': tokenGrantCodec,
	'configuration-request': configurationRequestCodec,
	'configuration-reply': configurationReplyCodec,
	'configuration-part-request': configurationPartRequestCodec,
	'configuration-part': configurationPartCodec,
	'not-coordinator': notCoordinatorCodec,
	'forward-open': forwardOpenCodec,
	'forward-opened': forwardOpenedCodec,
	forward: forwardCodec,
	'forward-answer': forwardAnswerCodec,
	'forward-progress': forwardProgressCodec,
	'forward-cancel': forwardCancelCodec,
	'forward-end': forwardEndCodec,
};

/**
 * Parses a message between VMs.
 * @param text - One line of JSON.
 * @returns The message, or the reason why it is invalid.
 */
export function parsePeerMessage(text: string): PeerMessage | {readonly kind: 'invalid'; readonly reason: string} {
	try {
		const value = JSON.parse(text) as {kind?: unknown} | undefined;
		const codec = codecsByKind[String(value?.kind)];
		return codec === undefined
			? {kind: 'invalid', reason: `unknown kind "${String(value?.kind)}"`}
			: codec.decode(value).caseOf<PeerMessage | {kind: 'invalid'; reason: string}>({Left: reason => ({kind: 'invalid', reason}), Right: message => message});
	} catch (error) {
		return {kind: 'invalid', reason: String(error)};
	}
}

/** Resolution of times in messages, in steps per millisecond; every timing margin is much longer than a step. */
const roundingStepsPerMs = 10;

function roundNumber(_key: string, value: unknown): unknown {
	return typeof value === 'number' && !Number.isInteger(value) ? Math.round(value * roundingStepsPerMs) / roundingStepsPerMs : value;
}

/** Formats a message between VMs as one line of JSON. */
export function formatPeerMessage(message: PeerMessage): string {
	return `${JSON.stringify(message, roundNumber)}\n`;
}
