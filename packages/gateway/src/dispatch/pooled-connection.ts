import {createHash} from 'node:crypto';
import {type PreparedAccess, type OutgoingStatement} from '../statements/index.js';
import {type InstanceConnection} from '../ports/index.js';

/** Session variables that are applied to a connection before a statement of the session runs on it. */
export type SessionValues = {
	readonly values: ReadonlyMap<string, string>;
	/** Incremented with each change of a value. */
	readonly valuesVersion: number;
};

/** A prepared statement as the caller defined it. */
export type PreparedStatement = {
	readonly access: PreparedAccess;
	/** Definition of the statement, sent to instances unchanged. */
	readonly shape: string;
};

/** Maximum number of prepared statements on a connection; one that has as many is reset before its next use. */
const maxPreparedStatements = 100;

/** Length from which shapes are known by their digest, in characters. */
const minDigestLength = 256;

/** A connection to an instance, with the session state that was applied to it. */
export class PooledConnection {
	/** Whether a statement or a transaction holds the connection. */
	isBusy = false;
	/** Whether a statement runs on the connection. */
	isRunning = false;
	/** Whether nothing may be sent on the connection any more, because the zone of the instance was evacuated. */
	isCutOff = false;
	/** Monotonic time at which the connection was opened or last released, in milliseconds. */
	lastUsedAt = 0;
	/** Session whose values are applied; one that has ended is not kept in memory. */
	#valuesOwner: WeakRef<SessionValues> | undefined;
	#valuesVersion = 0;
	/** Names of the prepared statements on this connection, by access and shape, or the digest of a long shape. */
	readonly #prepared = new Map<string, string>();

	constructor(readonly instanceConnection: InstanceConnection, readonly account: string) {}

	/** Returns whether the connection has the values of a session and no others. */
	hasValuesOf(session: SessionValues): boolean {
		return session.values.size === 0
			? this.#valuesOwner === undefined
			: this.#valuesOwner?.deref() === session && this.#valuesVersion === session.valuesVersion;
	}

	/** Returns the name of a prepared statement on this connection, undefined if it is not prepared there. */
	getPreparedName(prepared: PreparedStatement): string | undefined {
		return this.#prepared.get(formatPreparedKey(prepared));
	}

	/**
	 * Returns the statements that apply a session's values and define a prepared statement, and records them as sent.
	 * If any of them fails, the connection has to be closed.
	 */
	createPreparation(session: SessionValues, prepared: PreparedStatement | undefined): OutgoingStatement[] {
		const statements: OutgoingStatement[] = [];
		const hasOtherSession = this.#valuesOwner !== undefined && this.#valuesOwner.deref() !== session;
		if (hasOtherSession || this.#prepared.size >= maxPreparedStatements) {
			statements.push({statement: {kind: 'control-reset'}});
			this.#prepared.clear();
			this.#valuesOwner = undefined;
		}

		if (!this.hasValuesOf(session)) {
			for (const [name, value] of session.values) {
				statements.push({statement: {kind: 'control-set', name, value}});
			}

			this.#valuesOwner = new WeakRef(session);
			this.#valuesVersion = session.valuesVersion;
		}

		if (prepared !== undefined && this.getPreparedName(prepared) === undefined) {
			const name = `p${this.#prepared.size}`;
			this.#prepared.set(formatPreparedKey(prepared), name);
			statements.push({statement: {kind: 'control-prepare', name, ...prepared}});
		}

		return statements;
	}

	/** Forgets all prepared statements, after the instance answered that it does not know one of them. */
	clearPrepared(): void {
		this.#prepared.clear();
	}
}

function formatPreparedKey(prepared: PreparedStatement): string {
	const {access, shape} = prepared;
	return shape.length < minDigestLength ? `${access} ${shape}` : `${access}-digest ${createHash('sha256').update(shape).digest('base64')}`;
}
