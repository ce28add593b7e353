import {InstanceView} from './instance-view.js';

/** What a proxy knows of one database group. */
export class GroupState {
	/** Highest term known, and the instance that leads it. */
	term = 0;
	primaryName: string | undefined;
	readonly #instances = new Map<string, InstanceView>();

	constructor(readonly name: string) {}

	get instances(): InstanceView[] {
		return [...this.#instances.values()];
	}

	/** Returns the primary of the highest term known. */
	get primary(): InstanceView | undefined {
		return this.primaryName === undefined ? undefined : this.#instances.get(this.primaryName);
	}

	get replicas(): InstanceView[] {
		return this.instances.filter(instance => instance.name !== this.primaryName);
	}

	getInstance(name: string): InstanceView | undefined {
		return this.#instances.get(name);
	}

	/** Adds an instance, or returns the one already there. */
	addInstance(name: string, zone: string): InstanceView {
		const instance = this.#instances.get(name) ?? new InstanceView(name, zone);
		this.#instances.set(name, instance);
		return instance;
	}

	removeInstance(name: string): void {
		this.#instances.delete(name);
	}

	/**
	 * Takes in that an instance leads a term.
	 * @param term - Term led.
	 * @param primaryName - Instance that leads it.
	 * @returns Whether that was news.
	 */
	observePrimary(term: number, primaryName: string): boolean {
		if (term < this.term || (term === this.term && this.primaryName !== undefined)) {
			return false;
		}

		this.term = term;
		this.primaryName = primaryName;
		return true;
	}

	/** Takes in a term whose primary is not known yet; the primary of an older term is no longer used. */
	observeTerm(term: number): void {
		if (term > this.term) {
			this.term = term;
			this.primaryName = undefined;
		}
	}
}
