import {type ForwardMessage} from '@chicorysaddle/protocol/coordination';
import {type SessionValues} from '../dispatch/index.js';

/** Maximum number of sessions of a link that are remembered; the values of a forgotten one are applied again. */
const maxSessions = 256;

/** Maximum memory of the values of these sessions, in bytes; the newest session is remembered in any case. */
const maxValueBytes = 1_048_576;

/** Stands for all sessions without values, since connections without values do not depend on the session. */
const sessionWithoutValues: SessionValues = {values: new Map(), valuesVersion: 0};

/** A session of another VM, with the newest values that arrived. */
class RemoteSession implements SessionValues {
	#values: ReadonlyMap<string, string> = new Map();
	#valuesVersion = 0;
	#valueBytes = 0;

	get values(): ReadonlyMap<string, string> {
		return this.#values;
	}

	get valuesVersion(): number {
		return this.#valuesVersion;
	}

	/** Memory of the values, in bytes. */
	get valueBytes(): number {
		return this.#valueBytes;
	}

	/** Sets the values if they are newer. */
	setValues(values: Readonly<Record<string, string>>, version: number): void {
		if (version > this.#valuesVersion) {
			this.#values = new Map(Object.entries(values));
			this.#valuesVersion = version;
			this.#valueBytes = 0;
			for (const [name, value] of this.#values) {
				this.#valueBytes += name.length + value.length;
			}
		}
	}
}

/**
 * Sessions of another VM, as they arrive on one link.
 * Connections compare sessions by identity, so each session on each link has an object of its own.
 */
export class RemoteSessions {
	readonly #sessions = new Map<number, RemoteSession>();
	#valueBytes = 0;

	/** Returns the session of a statement. */
	getSession({session}: ForwardMessage): SessionValues {
		if (session === undefined) {
			return sessionWithoutValues;
		}

		const known = this.#sessions.get(session.id) ?? new RemoteSession();
		const formerBytes = this.#sessions.has(session.id) ? known.valueBytes : 0;
		known.setValues(session.values, session.version);
		this.#valueBytes += known.valueBytes - formerBytes;
		// Set again, so that the map is in the order of use.
		this.#sessions.delete(session.id);
		this.#sessions.set(session.id, known);
		this.#removeOldest();
		return known;
	}

	#removeOldest(): void {
		for (const [id, {valueBytes}] of this.#sessions) {
			if (this.#sessions.size === 1 || (this.#sessions.size <= maxSessions && this.#valueBytes <= maxValueBytes)) {
				return;
			}

			this.#sessions.delete(id);
			this.#valueBytes -= valueBytes;
		}
	}
}
