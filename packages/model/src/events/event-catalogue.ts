import {type EventFields, type EventDefinition} from './event-definition.js';

const termFields = {group: 'string', term: 'number', primary: 'string'} as const;

/** Every event that a gateway logs, with its fields: `docs/OPERATIONS.md` lists them from here. */
export const eventCatalogue = {
	'process.started': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'the process starts', fields: {zone: 'string', callers: 'string', store: 'string'},
	},
	'process.reload': {
		importance: 'state', scope: 'vm', isPossibleCause: false, description: 'SIGHUP: what of the settings was applied, and what needs a restart', fields: {applied: 'string', needsRestart: 'string', reason: 'string?'},
	},
	'process.failed': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'an error that ends the process', fields: {error: 'string'},
	},
	'metrics.unavailable': {
		importance: 'state', scope: 'vm', isPossibleCause: false, description: 'metrics cannot be served; callers are', fields: {address: 'string', reason: 'string'},
	},
	'shutdown.begun': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'SIGTERM', fields: {sessions: 'number', graceMs: 'number'},
	},
	'shutdown.ended': {
		importance: 'state', scope: 'vm', isPossibleCause: false, description: 'what was left of the sessions, and how long it took', fields: {sessions: 'number', durationMs: 'number'},
	},
	'configuration.applied': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'a version came into force, and from where',
		fields: {
			version: 'number', before: 'number', source: 'string', routes: 'number', accounts: 'number',
		},
	},
	'configuration.unreadable': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'a version cannot be read; the former one stays', fields: {source: 'string', reason: 'string'},
	},
	'store.lost': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'a kind of call to the store fails', fields: {call: 'string', why: 'string?'},
	},
	'store.regained': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'a kind of call to the store works again', fields: {call: 'string', why: 'string?'},
	},
	'entry.unreadable': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'an instance or configuration entry cannot be read; it is left out', fields: {row: 'string', version: 'number', reason: 'string'},
	},
	'row.unreadable': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'a row of the VMs cannot be read; it is left out', fields: {key: 'string', reason: 'string'},
	},
	'instance.changed': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'an instance was added, changed or is gone',
		fields: {
			instance: 'string', group: 'string', address: 'string', state: 'string', role: 'string', bornMs: 'number',
		},
	},
	'instance.lost': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'this VM cannot reach an instance',
		fields: {
			instance: 'string', group: 'string', how: 'string', answeredAgoMs: 'number?',
		},
	},
	'instance.regained': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'this VM reaches an instance again', fields: {instance: 'string', group: 'string', failedMs: 'number'},
	},
	'coordinator.taken': {
		importance: 'state', scope: 'cluster', isPossibleCause: true, description: 'this VM coordinates, with a new fencing token', fields: {token: 'number', version: 'number', before: 'string?'},
	},
	'coordinator.resumed': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'the store confirms a duty that this VM had tried to take', fields: {token: 'number', version: 'number'},
	},
	'coordinator.lost': {
		importance: 'state', scope: 'cluster', isPossibleCause: true, description: 'this VM no longer coordinates', fields: {token: 'number', reason: 'string'},
	},
	'coordinator.handed-over': {
		importance: 'state', scope: 'cluster', isPossibleCause: true, description: 'another VM goes on, as the store turns this one away or it stops', fields: {to: 'string', unrenewedMs: 'number'},
	},
	'coordinator.slow': {
		importance: 'state', scope: 'cluster', isPossibleCause: true, description: 'this VM answers too slowly to coordinate', fields: {lagMs: 'number'},
	},
	'member.registered': {
		importance: 'state', scope: 'vm', isPossibleCause: false, description: 'this VM has its row', fields: {version: 'number'},
	},
	'member.removed': {
		importance: 'state', scope: 'vm', isPossibleCause: false, description: 'the row of a VM that is silent was removed', fields: {member: 'string', silentMs: 'number'},
	},
	'peer.invalid': {
		importance: 'state', scope: 'vm', isPossibleCause: false, description: 'a message of another VM cannot be read; its connection is closed', fields: {reason: 'string'},
	},
	'peer.unexpected': {
		importance: 'state', scope: 'vm', isPossibleCause: false, description: 'a message came to a VM that it is not for', fields: {message: 'string'},
	},
	'term-lease.taken': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'this VM may use primaries again', fields: {ageMs: 'number'},
	},
	'term-lease.lost': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'this VM uses no primary, as neither a coordinator nor the store answered in time', fields: {ageMs: 'number'},
	},
	'term.adopted': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'who leads a group, by which revision of its row',
		fields: {
			...termFields, phase: 'string', revision: 'number', before: 'number?',
		},
	},
	'promotion.begun': {
		importance: 'state', scope: 'cluster', isPossibleCause: true, description: 'a change of primary begins, and why', fields: {...termFields, reason: 'string', token: 'number?'},
	},
	'promotion.ordered': {
		importance: 'state', scope: 'cluster', isPossibleCause: true, description: 'an instance was told to lead, and the answer',
		fields: {
			group: 'string', instance: 'string', token: 'number?', result: 'string',
		},
	},
	'promotion.ended': {
		importance: 'state', scope: 'cluster', isPossibleCause: true, description: 'a new term is open; the time until writes had stopped, and the whole',
		fields: {
			...termFields, closedMs: 'number', durationMs: 'number', recorded: 'boolean',
		},
	},
	'promotion.error': {
		importance: 'state', scope: 'cluster', isPossibleCause: true, description: 'a change of primary broke off; it is tried again', fields: {group: 'string', error: 'string'},
	},
	'limits.local': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'no coordinator answers: this VM keeps each account to its former pace here, or its even share', fields: {members: 'number'},
	},
	'limits.shared': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'the coordinator limits accounts over all VMs again', fields: {localMs: 'number'},
	},
	'session.rejected': {
		importance: 'refusal', scope: 'request', isPossibleCause: false, description: 'a session was not opened',
		fields: {
			connection: 'string', database: 'string', kind: 'string', configuration: 'number',
		},
	},
	'session.error': {
		importance: 'state', scope: 'request', isPossibleCause: false, description: 'a statement met an error of ours', fields: {connection: 'string', request: 'string', error: 'string'},
	},
	'statement.refused': {
		importance: 'refusal', scope: 'request', isPossibleCause: false, description: 'a statement was refused, with the kind and whether it ran',
		fields: {
			connection: 'string', request: 'string', database: 'string', group: 'string?', statement: 'string', kind: 'string', why: 'string',
			ran: 'string', retryAfterMs: 'number?', state: 'string', places: 'string?', configuration: 'number',
		},
	},
	'statement.retried': {
		importance: 'refusal', scope: 'request', isPossibleCause: false, description: 'an instance did not do it, so another attempt is made',
		fields: {
			request: 'string', group: 'string', instance: 'string', attempt: 'number', result: 'string', reason: 'string?', isPrimary: 'boolean', since: 'string?', waitedMs: 'number',
		},
	},
	'statement.completed': {
		importance: 'success', scope: 'request', isPossibleCause: false, description: 'a statement was done', fields: {connection: 'string', request: 'string', statement: 'string'},
	},
	'transaction.pinned': {
		importance: 'success', scope: 'request', isPossibleCause: false, description: 'a transaction holds an instance',
		fields: {
			request: 'string', group: 'string', instance: 'string', isPrimary: 'boolean', waitedMs: 'number',
		},
	},
	'transaction.moved': {
		importance: 'refusal', scope: 'request', isPossibleCause: false, description: 'a transaction could not begin at an instance, so another is tried',
		fields: {
			request: 'string', group: 'string', instance: 'string', attempt: 'number', result: 'string', reason: 'string?',
		},
	},
	'log.omitted': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'lines that were left out', fields: {lines: 'number'},
	},
	summary: {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'every 2 s: what each counter gained, and connections by instance as busy/open',
		fields: {
			sessions: 'number', waiting: 'number', connections: 'string', gains: 'counts',
		},
	},
} as const satisfies Readonly<Record<string, EventDefinition>>;

/** Names of events. */
export type EventName = keyof typeof eventCatalogue;

/** Fields of an event of the catalogue. */
export type EventFieldsByName<Name extends EventName> = EventFields<(typeof eventCatalogue)[Name]>;

/** Returns an event's structure, undefined when the catalogue has none of the name. */
export function getEventDefinition(name: string): EventDefinition | undefined {
	return Object.hasOwn(eventCatalogue, name) ? eventCatalogue[name as EventName] : undefined;
}

/** Writes the catalogue as a table in Markdown. */
export function formatEventTable(): string {
	const rows = Object.entries<EventDefinition>(eventCatalogue).map(([name, {description: says, scope, fields}]) => {
		const names = Object.entries(fields).map(([field, kind]) => kind.endsWith('?') ? `[${field}]` : field);
		return `| \`${name}\` | ${scope} | ${says} | ${names.join(', ')} |`;
	});
	return ['| event | about | says | fields, [absent at times] |', '|---|---|---|---|', ...rows].join('\n');
}
