import process from 'node:process';
import {type Endpoint, formatRow, type StoredRow} from '@chicorysaddle/model';
import {CommandContext, type CommonFlags, exitCodes} from './command-context.js';

/** Flags of the command that evacuates an availability zone. */
export type EvacuationFlags = CommonFlags & {
	/** Whether the evacuation ends. */
	readonly undo?: boolean;
};

/** Rows that begin or end an evacuation, or the names of the existing zones if the zone is unknown. */
export type EvacuationPlan = {readonly kind: 'rows'; readonly rows: readonly StoredRow[]} | {readonly kind: 'unknown-zone'; readonly zones: readonly string[]};

const endpointKeyPrefix = 'endpoint/';

/** Plans the rows that mark the endpoints of a zone as evacuated, or remove the mark; empty if nothing changes. */
export function planEvacuation(rows: readonly StoredRow[], zone: string, isUndone: boolean): EvacuationPlan {
	const endpoints = rows.filter(({key}) => key.startsWith(endpointKeyPrefix)).map(({key, value}) => ({name: key.slice(endpointKeyPrefix.length), endpoint: JSON.parse(value ?? '{}') as Endpoint}));
	const members = endpoints.filter(({endpoint}) => endpoint.zone === zone);
	if (members.length === 0) {
		return {kind: 'unknown-zone', zones: [...new Set(endpoints.map(({endpoint}) => endpoint.zone))].toSorted()};
	}

	const changed = members.filter(({endpoint}) => (endpoint.evacuated ?? false) === isUndone);
	return {kind: 'rows', rows: changed.map(({name, endpoint}) => formatRow('endpoint', name, {...endpoint, evacuated: isUndone ? undefined : true}))};
}

/** Formats the evacuated zones as lines of a view; no line without an evacuation. */
export function formatEvacuatedZones(zones: readonly string[]): string[] {
	return zones.length === 0 ? [] : [`evacuated availability zones: ${zones.join(', ')}`];
}

/** Evacuates an availability zone, or ends its evacuation, waits until that is in force on every VM, and returns the exit code. */
export async function evacuateZone(zone: string, flags: EvacuationFlags): Promise<number> {
	const context = new CommandContext(flags);
	const {version, rows} = await context.client.getConfiguration({});
	const isUndone = flags.undo === true;
	const plan = planEvacuation(rows, zone, isUndone);
	if (plan.kind === 'unknown-zone') {
		process.stderr.write(`no availability zone "${zone}"; the zones are: ${plan.zones.join(', ')}\n`);
		return exitCodes.invalidInput;
	}

	return context.applyRows(plan.rows, isUndone ? `end the evacuation of ${zone}` : `evacuate ${zone}`, version, {zone});
}
