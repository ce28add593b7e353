import {
	array, boolean, Codec, exactly, type GetType, number, oneOf, optional, record, string,
} from 'purify-ts';

const positionCodec = Codec.interface({term: number, offset: number});

/** A primary's position, as old as the sender says. */
const positionReportCodec = Codec.interface({position: positionCodec, ageMs: number});

/** Evidence on a group's primary. */
const evidenceReportCodec = Codec.interface({
	instanceId: string,
	/** Time since the last answer, absent where there was none. */
	answeredAgoMs: optional(number),
	/** Time since which there were only failures, absent while all is well. */
	failingForMs: optional(number),
	/** Whether the failures were refusals; absent where they were not. */
	isRefused: optional(boolean),
});

/** Who leads a group, as the store's row of that revision says. */
const groupTermCodec = Codec.interface({
	group: string,
	term: number,
	primaryId: string,
	phase: oneOf([exactly('open'), exactly('closing')]),
	/** Time for which writes that are under way may still end when the term closes. */
	drainMs: number,
	revision: number,
});

/** An instance as VMs know it. */
const instanceEntryCodec = Codec.interface({
	id: string,
	group: string,
	address: string,
	zone: string,
	slots: number,
	state: oneOf([exactly('ready'), exactly('draining')]),
	reportedRole: oneOf([exactly('primary'), exactly('replica')]),
	bornMs: number,
});

/** What a VM tells the coordinator. */
export const heartbeatCodec = Codec.interface({
	kind: exactly('heartbeat'),
	vm: string,
	incarnation: string,
	sequence: number,
	positions: record(string, positionReportCodec),
	evidence: record(string, evidenceReportCodec),
	/** Newest revision of each group's term that this VM acts by. */
	revisions: record(string, number),
	configurationVersion: number,
	/** Revision of the instances that this VM was last told, absent where it reads them itself. */
	instanceRevision: optional(string),
	/** The newest report that was received, with the time since then: it bounds when this heartbeat was sent. */
	echo: optional(Codec.interface({stampMs: number, ageMs: number})),
});

/** What the coordinator answers, or pushes without a sequence when a term changes. */
export const coordinatorReportCodec = Codec.interface({
	kind: exactly('report'),
	sequence: optional(number),
	/** Steady time of the coordinator, milliseconds. */
	stampMs: number,
	/** Fencing token of the coordinator. */
	token: number,
	/** Version of the coordinator's row in the store. */
	dutyRevision: number,
	/** Absent where the VM's heartbeat shows that it knows them. */
	terms: optional(array(groupTermCodec)),
	/** Whether the VM has to follow the store's configuration itself. */
	isFollower: boolean,
	/** Absent where the VM's heartbeat shows that it knows them. */
	instances: optional(Codec.interface({revision: string, entries: array(instanceEntryCodec)})),
	positions: record(string, positionReportCodec),
	configurationVersion: number,
	members: number,
});

/** Asks a VM for the configuration that it has. */
export const configurationRequestCodec = Codec.interface({kind: exactly('configuration-request')});

/** The configuration in the store's encoding. */
export const configurationReplyCodec = Codec.interface({kind: exactly('configuration-reply'), version: number, encoded: string});

/** Tells a VM that it is not talking to the coordinator. */
export const notCoordinatorCodec = Codec.interface({
	kind: exactly('not-coordinator'),
	/** Peer address of the coordinator as far as is known. */
	coordinator: optional(string),
});

/** Asks for tokens: operations of accounts that callers wait for. */
export const tokenRequestCodec = Codec.interface({
	kind: exactly('token-request'), vm: string, sequence: number, wants: record(string, Codec.interface({needed: number, extra: number})),
});

/** Gives tokens. */
export const tokenGrantCodec = Codec.interface({
	kind: exactly('token-grant'), sequence: number, grants: record(string, Codec.interface({count: number, waitMs: number})),
});

/** Asks a VM whether it reaches the store, or tells it to coordinate from now on: the sender has stopped. */
export const handOverOfferCodec = Codec.interface({kind: exactly('offer'), step: oneOf([exactly('ask'), exactly('take-over')])});

/** Says that the sender reaches the store and can coordinate. */
export const handOverAcceptanceCodec = Codec.interface({kind: exactly('acceptance'), vm: string, address: string});

const messageCodec = oneOf([handOverOfferCodec, handOverAcceptanceCodec, heartbeatCodec, coordinatorReportCodec, tokenRequestCodec, tokenGrantCodec, configurationRequestCodec, configurationReplyCodec, notCoordinatorCodec]);

export type GroupTermMessage = GetType<typeof groupTermCodec>;
export type EvidenceReport = GetType<typeof evidenceReportCodec>;
export type PositionReport = GetType<typeof positionReportCodec>;
export type TokenRequest = GetType<typeof tokenRequestCodec>;
export type TokenGrantMessage = GetType<typeof tokenGrantCodec>;
export type TokenDemands = TokenRequest['wants'];
export type TokenGrants = TokenGrantMessage['grants'];
export type Heartbeat = GetType<typeof heartbeatCodec>;
export type CoordinatorReport = GetType<typeof coordinatorReportCodec>;
export type ConfigurationReply = GetType<typeof configurationReplyCodec>;
export type PeerMessage = GetType<typeof messageCodec>;

const codecs: Readonly<Record<string, {decode: (input: unknown) => ReturnType<typeof messageCodec.decode>}>> = {
	heartbeat: heartbeatCodec,
	report: coordinatorReportCodec,
	offer: handOverOfferCodec,
	acceptance: handOverAcceptanceCodec,
	'token-request': tokenRequestCodec,
	'token-grant': tokenGrantCodec,
	'configuration-request': configurationRequestCodec,
	'configuration-reply': configurationReplyCodec,
	'not-coordinator': notCoordinatorCodec,
};

/**
 * Reads one message between VMs.
 * @param text - One line of JSON.
 * @returns The message, or what was wrong with it.
 */
export function parsePeerMessage(text: string): PeerMessage | {readonly kind: 'invalid'; readonly reason: string} {
	try {
		const value = JSON.parse(text) as {kind?: unknown} | undefined;
		const codec = codecs[String(value?.kind)];
		return codec === undefined
			? {kind: 'invalid', reason: `unknown kind "${String(value?.kind)}"`}
			: codec.decode(value).caseOf<PeerMessage | {kind: 'invalid'; reason: string}>({Left: reason => ({kind: 'invalid', reason}), Right: message => message});
	} catch (error) {
		return {kind: 'invalid', reason: String(error)};
	}
}

/** Steps in which times are sent, parts of a millisecond: far below every margin. */
const roundingStepsPerMs = 10;

function roundNumber(_key: string, value: unknown): unknown {
	return typeof value === 'number' && !Number.isInteger(value) ? Math.round(value * roundingStepsPerMs) / roundingStepsPerMs : value;
}

/** Writes one message between VMs as a line. */
export function formatPeerMessage(message: PeerMessage): string {
	return `${JSON.stringify(message, roundNumber)}\n`;
}
