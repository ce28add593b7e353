import {InstanceView} from './instance-view.js';

/** State of a database group as known to this proxy. */
export class GroupState {
	/** Highest known term. */
	term = 0;
	/** Primary of that term, undefined until it is known. */
	primaryName: string | undefined;
	readonly #instances = new Map<string, InstanceView>();

	constructor(readonly name: string) {}

	get instances(): InstanceView[] {
		return [...this.#instances.values()];
	}

	/** Primary of the highest known term, undefined if it is not known. */
	get primary(): InstanceView | undefined {
		return this.primaryName === undefined ? undefined : this.#instances.get(this.primaryName);
	}

	get replicas(): InstanceView[] {
		return this.instances.filter(instance => instance.name !== this.primaryName);
	}

	/** Whether the availability zones of all instances are evacuated. */
	get isEvacuated(): boolean {
		return this.#instances.size > 0 && this.instances.every(instance => instance.isEvacuated);
	}

	/** Returns an instance by name, undefined if there is none. */
	getInstance(name: string): InstanceView | undefined {
		return this.#instances.get(name);
	}

	/** Adds an instance, or returns the existing one. */
	addInstance(name: string, zone: string): InstanceView {
		const instance = this.#instances.get(name) ?? new InstanceView(name, zone);
		this.#instances.set(name, instance);
		return instance;
	}

	removeInstance(name: string): void {
		this.#instances.delete(name);
	}

	/**
	 * Records the primary of a term.
	 * @param term - Term of the primary.
	 * @param primaryName - Name of the primary.
	 * @returns Whether the state changed.
	 */
	recordPrimary(term: number, primaryName: string): boolean {
		if (term < this.term || (term === this.term && this.primaryName !== undefined)) {
			return false;
		}

		this.term = term;
		this.primaryName = primaryName;
		return true;
	}

	/** Records a term whose primary is not known yet; the primary of an older term is no longer used. */
	recordTerm(term: number): void {
		if (term > this.term) {
			this.term = term;
			this.primaryName = undefined;
		}
	}
}
