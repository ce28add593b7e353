import {Buffer} from 'node:buffer';
import {refusals, type Refusal} from '@chicorysaddle/model';
import {type PreparedStatement, type SessionValues} from '../dispatch/index.js';
import {type BudgetShare, MemoryBudget} from '../memory/index.js';

/** Maximum memory of the definitions of one session, in bytes. */
const maxSessionBytes = 262_144;

/** Maximum memory of the definitions of all sessions, in bytes. */
const maxTotalBytes = 8_388_608;

/** Memory that each session may take in any case, in bytes: sessions with ordinary definitions are served while others fill the memory. */
const freeBytes = 2048;

/** Memory that a definition takes beside its texts, in bytes. */
const definitionOverheadBytes = 128;

/** Retry delay sent to a caller when all sessions together hold too much, in milliseconds. */
const retryAfterMs = 500;

/** Creates the memory that the definitions of all sessions of a VM share. */
export function createDefinitionBudget(): MemoryBudget {
	return new MemoryBudget(maxTotalBytes, freeBytes);
}

/** Values and prepared statements of a caller's session; one that does not fit is refused, and the former one of its name stays. */
export class SessionDefinitions implements SessionValues {
	readonly values = new Map<string, string>();
	valuesVersion = 0;
	readonly #prepared = new Map<string, PreparedStatement>();
	#heldBytes = 0;

	/** @param share - Share of the memory of all sessions. */
	constructor(private readonly share: BudgetShare) {}

	/** Sets a value; returns a refusal if it does not fit. */
	setValue(name: string, value: string): Refusal | undefined {
		const refusal = this.#reserve(measureDefinition(name, value) - measureDefinition(name, this.values.get(name)));
		if (refusal === undefined) {
			this.values.set(createCopy(name), createCopy(value));
			this.valuesVersion += 1;
		}

		return refusal;
	}

	/** Returns the prepared statement of a name, undefined if there is none. */
	getPrepared(name: string): PreparedStatement | undefined {
		return this.#prepared.get(name);
	}

	/** Sets a prepared statement; returns a refusal if it does not fit. */
	setPrepared(name: string, {access, shape}: PreparedStatement): Refusal | undefined {
		const refusal = this.#reserve(measureDefinition(name, shape) - measureDefinition(name, this.#prepared.get(name)?.shape));
		if (refusal === undefined) {
			this.#prepared.set(createCopy(name), {access, shape: createCopy(shape)});
		}

		return refusal;
	}

	/** Removes the prepared statement of a name, if there is one. */
	removePrepared(name: string): void {
		const former = this.#prepared.get(name);
		this.#prepared.delete(name);
		this.#reserve(-measureDefinition(name, former?.shape));
	}

	/** Gives the memory back, after the session has ended. */
	release(): void {
		this.share.trySet(0);
	}

	/** Records a change of the memory, in bytes; returns a refusal, and changes nothing, if it does not fit. */
	#reserve(addedBytes: number): Refusal | undefined {
		const bytes = this.#heldBytes + addedBytes;
		if (addedBytes > 0 && bytes > maxSessionBytes) {
			return refusals.invalid(`the values and prepared statements of the session would take more than ${maxSessionBytes} bytes`);
		}

		if (!this.share.trySet(bytes)) {
			return refusals.memoryFull(retryAfterMs);
		}

		this.#heldBytes = bytes;
		return undefined;
	}
}

/** Returns the memory of a definition, in bytes; zero if there is none. */
function measureDefinition(name: string, text: string | undefined): number {
	return text === undefined ? 0 : name.length + text.length + definitionOverheadBytes;
}

/** Returns a copy of a text, because a part of a text keeps all of it in memory. */
function createCopy(text: string): string {
	return Buffer.from(text).toString();
}
