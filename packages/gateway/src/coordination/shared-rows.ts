import {
	countCodec, createListCodec, decodeValue, quantityCodec,
} from '@chicorysaddle/model';
import {
	Codec, exactly, type GetType, oneOf, optional, string,
} from 'purify-ts';
import {type PromotionRecord} from '@chicorysaddle/decisions';
import {type EventLog} from '../observability/index.js';
import {
	getEra, type SharedRow, type SharedRowWrite, type StoreVersion,
} from '../ports/index.js';
import {type GroupTerm, type PendingOrder} from '../terms/index.js';

const coordinatorCodec = Codec.interface({
	holder: string,
	/** Identifies the holder's process: a restarted VM counts as another holder. */
	incarnation: string,
	/** Peer address of the holder. An impossible one is accepted: the holder is then not reached, and its lease ends as that of a silent one. */
	address: string,
	/** Fencing token, increased with each change of holder. */
	token: countCodec,
	/** Era of the store in which the row was written; absent for era 0. */
	era: optional(countCodec),
});

/** An impossible address is accepted, so that the coordinator still waits for the VM. */
const memberCodec = Codec.interface({address: string, zone: string, incarnation: string});

const promotionCodec = Codec.interface({
	token: countCodec,
	formerPrimaryId: string,
	order: optional(Codec.interface({instanceId: string, instanceTerm: countCodec})),
});

const termCodec = Codec.interface({
	term: countCodec,
	primaryId: string,
	phase: oneOf([exactly('open'), exactly('closing')]),
	drainMs: quantityCodec,
	/** Era of the store in which the row was written; absent for era 0. */
	era: optional(countCodec),
	/** Promotions ordered since the term closed; absent in rows of open terms and of former builds. */
	promotion: optional(promotionCodec),
	/** Orders of promotions without a known answer, which may still take effect; absent if there are none. */
	pendingOrders: optional(createListCodec(Codec.interface({instanceId: string, address: string}))),
});

/** Instances that may hold acknowledged commits of a group. */
const holdersCodec = Codec.interface({
	instances: createListCodec(Codec.interface({
		id: string,
		address: string,
		/** Log position that covers every commit which an instance that has ended can have received; absent while it may receive. */
		coveringPosition: optional(Codec.interface({term: countCodec, offset: countCodec})),
	})),
});

/** Row that names the coordinator, with its version in the store. */
export type CoordinatorRow = Omit<GetType<typeof coordinatorCodec>, 'era'> & {readonly era?: number | undefined; readonly version: StoreVersion};

/** Row in which a VM registered itself, with its version in the store. */
export type MemberRow = GetType<typeof memberCodec> & {readonly vm: string; readonly version: StoreVersion};

/** What is known of a VM's registration: of a row that cannot be read, the name and the version. */
export type Registration = Pick<MemberRow, 'vm' | 'incarnation' | 'version'>;

/** Content of the row that names the instances which may hold acknowledged commits of a group. */
export type HoldersContent = GetType<typeof holdersCodec>;

/** That row, with its version in the store; without content if it cannot be read. */
export type HoldersRow = {readonly content: HoldersContent | undefined; readonly version: StoreVersion};

/** Content of a member row. */
export type MemberContent = GetType<typeof memberCodec>;

/** Content of a group's term row. */
export type TermContent = Omit<GetType<typeof termCodec>, 'era' | 'promotion' | 'pendingOrders'> & {readonly promotion?: PromotionRecord | undefined; readonly pendingOrders?: readonly PendingOrder[] | undefined};

/** A term with what its row records about a change of primary. */
export type StoredTerm = GroupTerm & {readonly promotion?: PromotionRecord | undefined};

/** Primary in the row of a closing term once a promotion has been ordered: a former build uses the one that the row names again if it answers. */
export const noPrimaryId = '';

/** Maximum number of rows that are written with one call beside the row of the coordinator's lease; the store accepts about twice as many entries. */
export const maxRowsPerWrite = 45;

/** Versions of rows that cannot be read: each can be replaced on condition that it is still at its version. */
export type UnreadableRows = {
	readonly coordinator: StoreVersion | undefined;
	/** By VM. */
	readonly members: ReadonlyMap<string, StoreVersion>;
	/** By group. */
	readonly terms: ReadonlyMap<string, StoreVersion>;
};

/** Content of all shared rows, from a single read. */
export type SharedState = {
	readonly coordinator: CoordinatorRow | undefined;
	readonly members: ReadonlyMap<string, MemberRow>;
	/** Terms that were written in the store's present era. */
	readonly terms: ReadonlyMap<string, StoredTerm>;
	/** Terms from an older copy of the store: later ones may have been lost. */
	readonly restoredTerms: ReadonlyMap<string, GroupTerm>;
	/** Instances that may hold acknowledged commits, by group; only of groups whose commits are acknowledged by replicas. */
	readonly holders: ReadonlyMap<string, HoldersRow>;
	readonly unreadable: UnreadableRows;
};

/** Returns whether a row was written in an earlier era of the store than the one it was read in. */
export function isRestored(row: {readonly version: StoreVersion; readonly era?: number | undefined}): boolean {
	return (row.era ?? 0) < getEra(row.version);
}

/** Maximum length of a key in the log, in characters. */
const maxKeyLength = 200;

/** Key of the row that names the coordinator. */
export const coordinatorKey = 'coordinator';

const memberKeyPrefix = 'vm/';
const termKeyPrefix = 'group/';
const holdersKeyPrefix = 'holders/';

/** Returns the key of a VM's member row. */
export function getMemberKey(vm: string): string {
	return `${memberKeyPrefix}${vm}`;
}

/** Returns the key of a group's term row. */
export function getTermKey(group: string): string {
	return `${termKeyPrefix}${group}`;
}

/** Returns the key of the row that names the instances which may hold acknowledged commits of a group. */
export function getHoldersKey(group: string): string {
	return `${holdersKeyPrefix}${group}`;
}

/** Creates the write of the row that names the instances which may hold acknowledged commits of a group, on condition that the row is at a version; 0 for an absent row. */
export function createHoldersWrite(group: string, {instances}: HoldersContent, expectedVersion: StoreVersion): SharedRowWrite {
	return {key: getHoldersKey(group), expectedVersion, value: JSON.stringify({instances: instances.map(({id, address, coveringPosition}) => ({id, address, coveringPosition}))})};
}

/** Creates the write of a VM's member row, on condition that the row is at a version; 0 for an absent row. */
export function createMemberWrite(vm: string, {address, zone, incarnation}: MemberContent, expectedVersion: StoreVersion): SharedRowWrite {
	return {key: getMemberKey(vm), expectedVersion, value: JSON.stringify({address, zone, incarnation})};
}

/**
 * Creates the write of a group's term row, on condition that the row is at a version; 0 for an absent row.
 * @param era - Present era of the store; era 0 is not written, so that the row reads as a former build writes it.
 */
export function createTermWrite({
	group, term, primaryId, phase, drainMs, promotion, pendingOrders,
}: TermContent & {readonly group: string}, era: number, expectedVersion: StoreVersion): SharedRowWrite {
	return {
		key: getTermKey(group), expectedVersion, value: JSON.stringify({
			term, primaryId, phase, drainMs, era: era === 0 ? undefined : era, promotion, pendingOrders: pendingOrders?.length === 0 ? undefined : pendingOrders,
		}),
	};
}

/** Parses the shared rows; of rows that cannot be parsed, which are logged, only the versions are returned. */
export function parseSharedRows(rows: readonly SharedRow[], log: EventLog): SharedState {
	let coordinator: CoordinatorRow | undefined;
	let unreadableCoordinator: StoreVersion | undefined;
	const unreadableMembers = new Map<string, StoreVersion>();
	const unreadableTerms = new Map<string, StoreVersion>();
	const members = new Map<string, MemberRow>();
	const terms = new Map<string, StoredTerm>();
	const restoredTerms = new Map<string, GroupTerm>();
	const holders = new Map<string, HoldersRow>();
	for (const row of rows) {
		const value = parseValue(row);
		if (row.key === coordinatorKey) {
			const content = decodeRow(coordinatorCodec, row, value, log);
			if (content === undefined) {
				unreadableCoordinator = row.version;
			} else {
				coordinator = {...content, version: row.version};
			}
		} else if (isNamed(row.key, memberKeyPrefix)) {
			const vm = row.key.slice(memberKeyPrefix.length);
			const content = decodeRow(memberCodec, row, value, log);
			if (content === undefined) {
				unreadableMembers.set(vm, row.version);
			} else {
				members.set(vm, {...content, vm, version: row.version});
			}
		} else if (isNamed(row.key, holdersKeyPrefix)) {
			holders.set(row.key.slice(holdersKeyPrefix.length), {content: decodeRow(holdersCodec, row, value, log), version: row.version});
		} else if (isNamed(row.key, termKeyPrefix)) {
			const group = row.key.slice(termKeyPrefix.length);
			const content = decodeRow(termCodec, row, value, log);
			if (content === undefined) {
				unreadableTerms.set(group, row.version);
			} else {
				const {era, promotion, ...rest} = content;
				const term = {...rest, group, revision: row.version};
				if (isRestored({era, version: row.version})) {
					// Later orders may have been lost with the rows; that of the record may still take effect.
					const order = promotion?.order;
					restoredTerms.set(group, order === undefined ? term : {...term, pendingOrders: [...term.pendingOrders ?? [], {instanceId: order.instanceId, address: ''}]});
				} else {
					terms.set(group, {...term, promotion});
				}
			}
		}
	}

	return {
		coordinator, members, terms, restoredTerms, holders, unreadable: {coordinator: unreadableCoordinator, members: unreadableMembers, terms: unreadableTerms},
	};
}

/** Returns the registrations of all VMs; that of a row that cannot be read is of no process, so that the VM is registered again or, if it is silent, removed. */
export function getRegistrations({members, unreadable}: SharedState): ReadonlyMap<string, Registration> {
	return unreadable.members.size === 0 ? members : new Map<string, Registration>([...members, ...[...unreadable.members].map(([vm, version]) => [vm, {vm, incarnation: '', version}] as const)]);
}

/**
 * Creates terms in place of rows that cannot be read and are newer than the known terms: they are closing, so that no VM uses a primary that may have been replaced.
 * @param knownTerms - Known terms of all groups; nothing is created for a group without one.
 */
export function createUnreadableTerms({unreadable}: SharedState, knownTerms: readonly GroupTerm[]): GroupTerm[] {
	const replaced = knownTerms.filter(({group, revision}) => (unreadable.terms.get(group) ?? 0) > revision);
	return replaced.map(term => ({
		...term, phase: 'closing', drainMs: 0, revision: unreadable.terms.get(term.group)!,
	}));
}

/** Returns whether a key is a prefix and a name. */
function isNamed(key: string, prefix: string): boolean {
	return key.startsWith(prefix) && key.length > prefix.length;
}

function decodeRow<T>(codec: Codec<T>, row: SharedRow, value: unknown, log: EventLog): T | undefined {
	return decodeValue(codec, value).ifLeft(reason => {
		log.logEventOnce('row.unreadable', `${row.key} ${row.version}`, {key: row.key.slice(0, maxKeyLength), reason});
	}).toMaybe().extract();
}

function parseValue(row: SharedRow): unknown {
	try {
		return JSON.parse(row.value);
	} catch {
		// The codec rejects undefined, so the row is logged as unreadable.
		return undefined;
	}
}
