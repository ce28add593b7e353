import {type PreparedAccess, type OutgoingStatement} from '../statements/index.js';
import {type InstanceConnection} from '../ports/index.js';

/** Values of a session that its statements rely on. */
export type SessionValues = {
	readonly values: ReadonlyMap<string, string>;
	/** Rises with each change of a value. */
	readonly valuesVersion: number;
};

/** A prepared statement as its caller prepared it. */
export type PreparedStatement = {
	readonly access: PreparedAccess;
	readonly shape: string;
};

/** Prepared statements that one connection keeps before it is reset. */
const maxPrepared = 100;

/** A connection to an instance with what is known of its state there. */
export class PooledConnection {
	isBusy = false;
	lastUsedAt = 0;
	#valuesOwner: SessionValues | undefined;
	#valuesVersion = 0;
	readonly #prepared = new Map<string, string>();

	constructor(readonly instanceConnection: InstanceConnection, readonly account: string) {}

	/** Says whether a session's values are in force, so that no statement has to be sent for them. */
	hasValuesOf(session: SessionValues): boolean {
		return session.values.size === 0
			? this.#valuesOwner === undefined
			: this.#valuesOwner === session && this.#valuesVersion === session.valuesVersion;
	}

	/** Returns the name of a prepared statement on this connection. */
	getPreparedName(prepared: PreparedStatement): string | undefined {
		return this.#prepared.get(formatPreparedKey(prepared));
	}

	/**
	 * Returns the statements that put a session's values and a prepared statement in force, and takes them as sent.
	 * When any of them fails the connection has to be closed.
	 */
	createPreparation(session: SessionValues, prepared: PreparedStatement | undefined): OutgoingStatement[] {
		const statements: OutgoingStatement[] = [];
		const hasOtherSession = this.#valuesOwner !== undefined && this.#valuesOwner !== session;
		if (hasOtherSession || this.#prepared.size >= maxPrepared) {
			statements.push({statement: {kind: 'control-reset'}});
			this.#prepared.clear();
			this.#valuesOwner = undefined;
		}

		if (!this.hasValuesOf(session)) {
			for (const [name, value] of session.values) {
				statements.push({statement: {kind: 'control-set', name, value}});
			}

			this.#valuesOwner = session;
			this.#valuesVersion = session.valuesVersion;
		}

		if (prepared !== undefined && this.getPreparedName(prepared) === undefined) {
			const name = `p${this.#prepared.size}`;
			this.#prepared.set(formatPreparedKey(prepared), name);
			statements.push({statement: {kind: 'control-prepare', name, ...prepared}});
		}

		return statements;
	}

	/** Forgets what was prepared, after the instance said that it does not know a name. */
	clearPrepared(): void {
		this.#prepared.clear();
	}
}

function formatPreparedKey(prepared: PreparedStatement): string {
	return `${prepared.access} ${prepared.shape}`;
}
