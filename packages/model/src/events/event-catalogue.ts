import {type EventFields, type EventDefinition} from './event-definition.js';

const termFields = {group: 'string', term: 'number', primary: 'string'} as const;

const memoryFields = {
	heapMb: 'number', limitMb: 'number', externalMb: 'number', residentMb: 'number?',
} as const;

/** Every event that a gateway logs, with its fields; the table in `docs/OPERATIONS.md` is generated from it. */
export const eventCatalogue = {
	'process.started': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'the process started and has read its settings',
		fields: {
			zone: 'string', callers: 'string', store: 'string', node: 'string', arch: 'string', pid: 'number',
		},
	},
	'process.reload': {
		importance: 'state', scope: 'vm', isPossibleCause: false, description: 'after SIGHUP, or a moment after the start if the file has changed: the settings that were applied, and those that need a restart; while the file cannot be read the former ones stay in force, and it is read again for 30 s', fields: {applied: 'string', needsRestart: 'string', reason: 'string?'},
	},
	'process.failed': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'an error that nothing handled: the process ends in order, with exit code 1', fields: {phase: 'string', error: 'string'},
	},
	'task.failed': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'an error in an operation that nothing awaits; the process goes on, and a task that repeats is run again', fields: {task: 'string', error: 'string'},
	},
	'process.ended': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'the process ends, in the phase `loading-settings`, `binding`, `serving` or `stopping`; without a VM name if the settings were not read', fields: {phase: 'string', code: 'number', reason: 'string'},
	},
	'settings.unreadable': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'at the start the settings cannot be read, or for another reason than before; they are read again for 30 s', fields: {reason: 'string'},
	},
	'settings.changed': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'the settings changed before all addresses were bound; the process gives back those that are and starts with the new settings', fields: {},
	},
	'listener.waiting': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'an address (`callers`, `probe`, `peers` or `metrics`) is in use or not assigned; the process waits until it can be bound', fields: {listener: 'string', address: 'string', reason: 'string'},
	},
	'listener.bound': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'an address that the process waited for is bound', fields: {listener: 'string', address: 'string', waitedMs: 'number'},
	},
	'listener.failed': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'a listening server reported errors, as many as `count` since the last line; it goes on', fields: {listener: 'string', count: 'number', error: 'string'},
	},
	'metrics.unavailable': {
		importance: 'state', scope: 'vm', isPossibleCause: false, description: 'metrics cannot be served; callers are served nevertheless', fields: {address: 'string', reason: 'string'},
	},
	'memory.used': {
		importance: 'state', scope: 'vm', isPossibleCause: false, description: 'every 30 s: memory of the process', fields: memoryFields,
	},
	'memory.high': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'the heap passed 80 % of the limit at which the process ends for lack of memory', fields: memoryFields,
	},
	'memory.normal': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'the heap is below 65 % of its limit again', fields: memoryFields,
	},
	'shutdown.begun': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'the process shuts down, after SIGTERM or an error', fields: {sessions: 'number', graceMs: 'number'},
	},
	'shutdown.ended': {
		importance: 'state', scope: 'vm', isPossibleCause: false, description: 'the shutdown ended; sessions that were still open, and its duration', fields: {sessions: 'number', durationMs: 'number'},
	},
	'configuration.applied': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'a version of the configuration came into force, and its source',
		fields: {
			version: 'number', before: 'number', source: 'string', routes: 'number', accounts: 'number',
		},
	},
	'configuration.unreadable': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'a version of the configuration cannot be read; the previous one stays in force', fields: {source: 'string', reason: 'string'},
	},
	'configuration.source-failed': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'another VM stopped sending a configuration; the transfer goes on with the next source',
		fields: {
			source: 'string', reason: 'string', received: 'number', size: 'number?',
		},
	},
	'store.lost': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'calls of one kind to the store fail', fields: {call: 'string', why: 'string?'},
	},
	'store.regained': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'calls of one kind to the store succeed again', fields: {call: 'string', why: 'string?'},
	},
	'store.restored': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'the store returned from an older copy: its era rose, and what was written since the copy is lost', fields: {before: 'number', era: 'number'},
	},
	'terms.rewritten': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'the coordinator wrote terms into the store again; unless its lease lasted through the restore, the terms close until the instances have been asked',
		fields: {
			era: 'number', groups: 'number', isContinued: 'string', version: 'number',
		},
	},
	'coordinator.restored': {
		importance: 'state', scope: 'vm', isPossibleCause: false, description: 'this VM wrote the row of its lease again after the store returned from an older copy', fields: {token: 'number', before: 'number', version: 'number'},
	},
	'entry.unreadable': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'an instance or configuration entry cannot be read; it is ignored', fields: {row: 'string', version: 'number', reason: 'string'},
	},
	'row.unreadable': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'a row that the VMs share cannot be read; it is ignored', fields: {key: 'string', reason: 'string'},
	},
	'instance.changed': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'an instance was added, changed or removed',
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
	'evacuation.begun': {
		importance: 'state', scope: 'cluster', isPossibleCause: true, description: 'this VM learned of the evacuation of an availability zone: its instances get no reads, and its primaries move',
		fields: {
			zone: 'string', instances: 'number', source: 'string', version: 'number',
		},
	},
	'evacuation.completed': {
		importance: 'state', scope: 'cluster', isPossibleCause: false, description: 'this VM sends nothing to the instances of an evacuated zone any more; `primariesLeft` counts the primaries that no other instance can replace',
		fields: {
			zone: 'string', instances: 'number', primariesLeft: 'number', durationMs: 'number',
		},
	},
	'evacuation.ended': {
		importance: 'state', scope: 'cluster', isPossibleCause: true, description: 'the evacuation of an availability zone ended: its instances return in steps',
		fields: {
			zone: 'string', instances: 'number', source: 'string', version: 'number',
		},
	},
	'gateway.avoided': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'this VM sends no operations to a gateway for a while, and opens connections instead', fields: {gateway: 'string', reason: 'string'},
	},
	'coordinator.taken': {
		importance: 'state', scope: 'cluster', isPossibleCause: true, description: 'this VM became the coordinator, with a new fencing token', fields: {token: 'number', version: 'number', before: 'string?'},
	},
	'coordinator.resumed': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'the store shows that this VM became the coordinator by a write whose response was lost', fields: {token: 'number', version: 'number'},
	},
	'coordinator.lost': {
		importance: 'state', scope: 'cluster', isPossibleCause: true, description: 'this VM is no longer the coordinator', fields: {token: 'number', reason: 'string'},
	},
	'coordinator.handed-over': {
		importance: 'state', scope: 'cluster', isPossibleCause: true, description: 'another VM takes over as coordinator, because the store does not answer this one or it shuts down', fields: {to: 'string', unrenewedMs: 'number'},
	},
	'coordinator.slow': {
		importance: 'state', scope: 'cluster', isPossibleCause: true, description: 'this VM responds too slowly to be the coordinator', fields: {lagMs: 'number'},
	},
	'coordinator.failing': {
		importance: 'state', scope: 'cluster', isPossibleCause: true, description: 'this VM gives up the role of the coordinator, because one of its duties fails each time', fields: {duty: 'string', failures: 'number', failingMs: 'number'},
	},
	'member.registered': {
		importance: 'state', scope: 'vm', isPossibleCause: false, description: 'the row of this VM was written to the store', fields: {version: 'number'},
	},
	'members.registered': {
		importance: 'state', scope: 'vm', isPossibleCause: false, description: 'the coordinator wrote the rows of connected VMs to the store', fields: {count: 'number', version: 'number'},
	},
	'member.removed': {
		importance: 'state', scope: 'vm', isPossibleCause: false, description: 'the row of a silent VM was removed', fields: {member: 'string', silentMs: 'number'},
	},
	'peer.invalid': {
		importance: 'state', scope: 'vm', isPossibleCause: false, description: 'a message from another VM cannot be parsed; its connection is closed', fields: {reason: 'string'},
	},
	'peer.failed': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'a message from another VM caused an error or is too long; its connection is closed', fields: {error: 'string'},
	},
	'peer.unexpected': {
		importance: 'state', scope: 'vm', isPossibleCause: false, description: 'a message arrived that is not meant for this VM; it is ignored', fields: {message: 'string'},
	},
	'term-lease.taken': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'this VM holds the term lease: it may use primaries again', fields: {ageMs: 'number'},
	},
	'term-lease.lost': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'the term lease expired, as neither a coordinator nor the store answered in time: this VM uses no primary', fields: {ageMs: 'number'},
	},
	'term.adopted': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'the primary and the term of a group, and the revision of the row that names them',
		fields: {
			...termFields, phase: 'string', revision: 'number', before: 'number?',
		},
	},
	'positions.surveyed': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'without a term lease, this VM asked the instances of a group for the position of its primary; without a position they did not agree, or not all answered',
		fields: {
			group: 'string', term: 'number', answers: 'number', instances: 'number', position: 'string?', durationMs: 'number',
		},
	},
	'promotion.begun': {
		importance: 'state', scope: 'cluster', isPossibleCause: true, description: 'a change of primary begins, and the reason', fields: {...termFields, reason: 'string', token: 'number?'},
	},
	'promotion.resumed': {
		importance: 'state', scope: 'cluster', isPossibleCause: true, description: 'an interrupted change of primary goes on: the last promotion that its row records, the number of instances that answered, and the primary if that settles it',
		fields: {
			group: 'string', term: 'number', ordered: 'string', answers: 'number', primary: 'string?',
		},
	},
	'promotion.answered': {
		importance: 'state', scope: 'cluster', isPossibleCause: true, description: 'the instances were asked before a successor is chosen: of each that answered the id, state, role, term and log position, and the ids of those that did not',
		fields: {
			group: 'string', term: 'number', answers: 'string', silent: 'string',
		},
	},
	'promotion.postponed': {
		importance: 'state', scope: 'cluster', isPossibleCause: true, description: 'the primary drains and stays in use, because no other instance receives the log that has to have every acknowledged commit; the answers as in `promotion.answered`',
		fields: {...termFields, answers: 'string'},
	},
	'promotion.waiting': {
		importance: 'state', scope: 'cluster', isPossibleCause: true, description: 'no instance that answers is known to have every acknowledged commit, of a group whose commits are acknowledged by replicas; the ids of those that may return with them, none if one that may not be promoted has them',
		fields: {
			group: 'string', term: 'number', syncReplicas: 'number?', awaited: 'string',
		},
	},
	'promotion.incomplete': {
		importance: 'state', scope: 'cluster', isPossibleCause: true, description: 'the instances that may have had more commits are gone for good, so the longest log that is left is promoted: acknowledged commits may be lost; the answers as in `promotion.answered`',
		fields: {
			group: 'string', term: 'number', syncReplicas: 'number', answers: 'string',
		},
	},
	'promotion.ordered': {
		importance: 'state', scope: 'cluster', isPossibleCause: true, description: 'an instance was told to become primary, and its response',
		fields: {
			group: 'string', instance: 'string', token: 'number?', result: 'string',
		},
	},
	'promotion.watched': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'an instance may become the primary without an order of the present coordinator, and why: while it is watched, writes wait until it has stated that it leads no later term',
		fields: {group: 'string', instance: 'string', reason: 'string'},
	},
	'promotion.found': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'a watched instance is in a later term than the known one, so the primary is not written to any more; the ids of the watched instances',
		fields: {...termFields, watched: 'string'},
	},
	'promotion.ended': {
		importance: 'state', scope: 'cluster', isPossibleCause: true, description: 'a new term is open; the time until writes had stopped, and the total duration',
		fields: {
			...termFields, closedMs: 'number', durationMs: 'number', recorded: 'boolean',
		},
	},
	'promotion.error': {
		importance: 'state', scope: 'cluster', isPossibleCause: true, description: 'a change of primary failed; it is retried', fields: {group: 'string', error: 'string'},
	},
	'limits.local': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'no coordinator answers: this VM limits each account to what it used here and its part of what the account had left, and within one window to an even share', fields: {members: 'number'},
	},
	'limits.shared': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'the coordinator limits accounts across all VMs again', fields: {localMs: 'number'},
	},
	'limits.assumed': {
		importance: 'state', scope: 'cluster', isPossibleCause: true, description: 'this VM became the coordinator and decides on an account for the first time: the operations that count as used in the last window, and those that a window allows',
		fields: {account: 'string', used: 'number', allowed: 'number'},
	},
	'admission.level': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'this VM refuses more, or fewer, requests of a priority class of a group, because those of higher classes wait on all VMs together',
		fields: {
			group: 'string', target: 'string', class: 'string', level: 'string', before: 'string',
		},
	},
	'session.rejected': {
		importance: 'refusal', scope: 'request', isPossibleCause: false, description: 'a session was rejected',
		fields: {
			connection: 'string', database: 'string', kind: 'string', configuration: 'number',
		},
	},
	'session.failed': {
		importance: 'state', scope: 'vm', isPossibleCause: false, description: 'an unexpected error ended a caller\'s connection; others go on', fields: {connection: 'string', error: 'string'},
	},
	'session.error': {
		importance: 'state', scope: 'request', isPossibleCause: false, description: 'an internal error occurred while a statement was handled', fields: {connection: 'string?', request: 'string', error: 'string'},
	},
	'statement.refused': {
		importance: 'refusal', scope: 'request', isPossibleCause: false, description: 'a statement was refused; the error kind, and whether it ran',
		fields: {
			connection: 'string', request: 'string', database: 'string', group: 'string?', statement: 'string', kind: 'string', why: 'string',
			ran: 'string', retryAfterMs: 'number?', state: 'string', places: 'string?', configuration: 'number',
		},
	},
	'statement.retried': {
		importance: 'refusal', scope: 'request', isPossibleCause: false, description: 'an instance did not complete a statement; it is retried',
		fields: {
			request: 'string', group: 'string', instance: 'string', attempt: 'number', result: 'string', reason: 'string?', isPrimary: 'boolean', since: 'string?', waitedMs: 'number',
		},
	},
	'statement.completed': {
		importance: 'success', scope: 'request', isPossibleCause: false, description: 'a statement completed', fields: {connection: 'string', request: 'string', statement: 'string'},
	},
	'transaction.pinned': {
		importance: 'success', scope: 'request', isPossibleCause: false, description: 'a transaction was bound to an instance',
		fields: {
			request: 'string', group: 'string', instance: 'string', isPrimary: 'boolean', waitedMs: 'number',
		},
	},
	'transaction.moved': {
		importance: 'refusal', scope: 'request', isPossibleCause: false, description: 'a transaction could not begin at an instance; another instance is tried',
		fields: {
			request: 'string', group: 'string', instance: 'string', attempt: 'number', result: 'string', reason: 'string?',
		},
	},
	'log.omitted': {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'the number of log lines that were dropped', fields: {lines: 'number'},
	},
	summary: {
		importance: 'state', scope: 'vm', isPossibleCause: true, description: 'every 2 s: the increase of each counter, and connections by instance as busy/open',
		fields: {
			sessions: 'number', waiting: 'number', connections: 'string', gains: 'counts',
		},
	},
} as const satisfies Readonly<Record<string, EventDefinition>>;

/** Name of an event in the catalogue. */
export type EventName = keyof typeof eventCatalogue;

/** Field values of the event with a name. */
export type EventFieldsByName<Name extends EventName> = EventFields<(typeof eventCatalogue)[Name]>;

/** Returns the definition of an event, undefined when the catalogue has no event of that name. */
export function getEventDefinition(name: string): EventDefinition | undefined {
	return Object.hasOwn(eventCatalogue, name) ? eventCatalogue[name as EventName] : undefined;
}

/** Formats the catalogue as a Markdown table, one row an event. */
export function formatEventTable(): string {
	const rows = Object.entries<EventDefinition>(eventCatalogue).map(([name, {description, scope, fields}]) => {
		const names = Object.entries(fields).map(([field, kind]) => kind.endsWith('?') ? `[${field}]` : field);
		return `| \`${name}\` | ${scope} | ${description} | ${names.join(', ')} |`;
	});
	return ['| event | about | meaning | fields, [optional] |', '|---|---|---|---|', ...rows].join('\n');
}
