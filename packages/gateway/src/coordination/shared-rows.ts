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

const termCodec = Codec.interface({
	term: number, primaryId: string, phase: oneOf([exactly('open'), exactly('closing')]), drainMs: number,
});

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
		if (row.key === dutyKey) {
			const content = decodeRow(dutyCodec, row, value, log);
			duty = content === undefined ? duty : {...content, version: row.version};
		} else if (row.key.startsWith(memberPrefix)) {
			const vm = row.key.slice(memberPrefix.length);
			const content = decodeRow(memberCodec, row, value, log);
			if (content !== undefined) {
				members.set(vm, {...content, vm, version: row.version});
			}
		} else if (row.key.startsWith(termPrefix)) {
			const group = row.key.slice(termPrefix.length);
			const content = decodeRow(termCodec, row, value, log);
			if (content !== undefined) {
				terms.set(group, {...content, group, revision: row.version});
			}
		}
	}

	return {duty, members, terms};
}

function decodeRow<T>(codec: Codec<T>, row: SharedRow, value: unknown, log: DecisionLog): T | undefined {
	return codec.decode(value).ifLeft(reason => {
		log.logEvent('row.unreadable', {key: row.key, reason});
	}).toMaybe().extract();
}

function parseValue(row: SharedRow): unknown {
	try {
		return JSON.parse(row.value);
	} catch {
		// The codec rejects it and names the row.
		return undefined;
	}
}
