import {
	Codec, exactly, type GetType, number, oneOf, string,
} from 'purify-ts';
import {type DecisionLog} from '../observability/index.js';
import {type SharedRow} from '../ports/index.js';
import {type GroupTerm} from '../terms/index.js';

const dutyCodec = Codec.interface({
	holder: string,
	/** Start of the holder's process: a restarted VM is another holder. */
	incarnation: string,
	/** Peer address of the holder. */
	address: string,
	/** Rises with each change of holder. */
	token: number,
});

const memberCodec = Codec.interface({address: string, zone: string, incarnation: string});

const termCodec = Codec.interface({term: number, primaryId: string, phase: oneOf([exactly('open'), exactly('closing')])});

/** Which VM coordinates. */
export type DutyRow = GetType<typeof dutyCodec> & {readonly version: number};

/** A VM as it registered itself. */
export type MemberRow = GetType<typeof memberCodec> & {readonly vm: string; readonly version: number};

/** Content of a group's row. */
export type TermContent = GetType<typeof termCodec>;

/** All shared rows as of one moment. */
export type SharedState = {
	readonly duty: DutyRow | undefined;
	readonly members: ReadonlyMap<string, MemberRow>;
	readonly terms: ReadonlyMap<string, GroupTerm>;
};

/** Key of the row that names the coordinator. */
export const dutyKey = 'coordinator';

const memberPrefix = 'vm/';
const termPrefix = 'group/';

/** Returns the key of a VM's row. */
export function getMemberKey(vm: string): string {
	return `${memberPrefix}${vm}`;
}

/** Returns the key of a group's row. */
export function getTermKey(group: string): string {
	return `${termPrefix}${group}`;
}

/** Reads the shared rows; one that cannot be read is logged and left out. */
export function parseSharedRows(rows: readonly SharedRow[], log: DecisionLog): SharedState {
	let duty: DutyRow | undefined;
	const members = new Map<string, MemberRow>();
	const terms = new Map<string, GroupTerm>();
	for (const row of rows) {
		const value = parseValue(row);
		const report = (reason: string) => {
			log.logState('row.unreadable', {key: row.key, reason});
		};

		if (row.key === dutyKey) {
			dutyCodec.decode(value).ifRight(content => {
				duty = {...content, version: row.version};
			}).ifLeft(report);
		} else if (row.key.startsWith(memberPrefix)) {
			const vm = row.key.slice(memberPrefix.length);
			memberCodec.decode(value).ifRight(content => members.set(vm, {...content, vm, version: row.version})).ifLeft(report);
		} else if (row.key.startsWith(termPrefix)) {
			const group = row.key.slice(termPrefix.length);
			termCodec.decode(value).ifRight(content => terms.set(group, {...content, group, revision: row.version})).ifLeft(report);
		}
	}

	return {duty, members, terms};
}

function parseValue(row: SharedRow): unknown {
	try {
		return JSON.parse(row.value);
	} catch {
		// The codec rejects it and names the row.
		return undefined;
	}
}
