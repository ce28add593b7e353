import {createHash} from 'node:crypto';
import {type Configuration} from '@chicorysaddle/model';
import {chooseHandOvers, type QueuePolicy} from '@chicorysaddle/decisions';
import {type Clock} from '../observability/index.js';
import {type EndpointConnector} from '../endpoints/index.js';
import {Group} from './group.js';
import {type Promoter} from './promoter.js';
import {ZoneEvacuations} from './zone-evacuations.js';

/** Number of VMs that monitor one group. */
export const monitorsPerGroup = 3;

/** Delay between the promotion attempts of monitors of consecutive ranks, in milliseconds. */
const promotionStaggerMs = 200;

/** Minimum time between two attempts to move a primary out of an evacuated zone, in milliseconds. */
const handOverIntervalMs = 500;

/** Numbers of the priorities of routes, zero for the highest. */
const priorityNumbers = {high: 0, normal: 1, low: 2} as const;

/** A VM that can monitor groups. */
export type MonitorCandidate = {readonly name: string; readonly zone: string};

/**
 * Chooses the VMs that monitor a group by rendezvous hashing, preferring different availability zones.
 * The order of the result is the rank in which they attempt a promotion.
 * @param group - Name of the group.
 * @param vms - VMs to choose from.
 */
export function chooseMonitors(group: string, vms: readonly MonitorCandidate[]): string[] {
	const ranked = vms
		.map(vm => ({vm, score: createHash('sha256').update(`${vm.name}/${group}`).digest('hex')}))
		.toSorted((a, b) => (a.score < b.score ? -1 : 1))
		.map(({vm}) => vm);
	const firstPerZone = ranked.filter((vm, index) => ranked.findIndex(other => other.zone === vm.zone) === index);
	const others = ranked.filter(vm => !firstPerZone.includes(vm));
	return [...firstPerZone, ...others].slice(0, monitorsPerGroup).map(vm => vm.name);
}

/** Settings of the groups. */
export type GroupOptions = {
	readonly queuePolicy: QueuePolicy;
	/** Time after the start of an evacuation from which nothing may be sent to the endpoints of its zone, in milliseconds. */
	readonly evacuationMs: number;
};

/** The database groups of the current configuration. */
export class GroupRegistry {
	readonly #groups = new Map<string, Group>();
	readonly #monitors = new Map<string, string[]>();
	readonly #promotionDueSince = new Map<string, number>();
	readonly #promotingGroups = new Set<string>();
	readonly #evacuations: ZoneEvacuations;
	/** Highest priority among the routes of each group. */
	#priorities = new Map<string, number>();
	/** Monotonic times of the last attempts to move a primary out of an evacuated zone, by group, in milliseconds. */
	readonly #handOverAt = new Map<string, number>();

	constructor(
		private readonly vm: string,
		private readonly connector: EndpointConnector,
		private readonly promoter: Promoter,
		private readonly clock: Clock,
		private readonly options: GroupOptions,
	) {
		this.#evacuations = new ZoneEvacuations(options.evacuationMs);
	}

	/** Returns a group, undefined if the configuration does not contain it. */
	getGroup(name: string): Group | undefined {
		return this.#groups.get(name);
	}

	getGroups(): Group[] {
		return [...this.#groups.values()];
	}

	/** Returns the names of the VMs that monitor a group, ordered by rank; empty for an unknown group. */
	getMonitors(group: string): readonly string[] {
		return this.#monitors.get(group) ?? [];
	}

	/** Whether every instance of every group has been probed at least once. */
	get areAllInstancesProbed(): boolean {
		return this.getGroups().every(group => group.areAllInstancesProbed);
	}

	/**
	 * Adds, updates and removes groups to match the configuration.
	 * @param configuration - Current configuration.
	 * @param vms - VMs that can monitor groups.
	 * @param vmCount - Number of VMs that share the connections of an instance.
	 * @param ageMs - Time since which the configuration was not confirmed before this change, in milliseconds.
	 */
	applyConfiguration(configuration: Configuration, vms: readonly MonitorCandidate[], vmCount: number, ageMs: number): void {
		this.#evacuations.setZones(configuration.getEvacuatedZones(), this.clock.getNow(), ageMs);
		this.#priorities = new Map(configuration.getGroupNames().map(name => [name, Math.min(...configuration.getRoutes(name).map(({priority}) => priorityNumbers[priority]))]));
		for (const name of configuration.getGroupNames()) {
			const group = this.#groups.get(name) ?? new Group(name, this.connector, this.clock, this.options.queuePolicy, this.#evacuations);
			this.#groups.set(name, group);
			group.setEndpoints(configuration.getEndpoints(name), vmCount);
			const monitors = chooseMonitors(name, vms);
			this.#monitors.set(name, monitors);
			group.isMonitoredLocally = monitors.includes(this.vm);
		}

		for (const [name, group] of this.#groups) {
			if (!configuration.hasGroup(name)) {
				group.close();
				this.#groups.delete(name);
			}
		}
	}

	/** Probes the instances that are due and starts a promotion where a majority of the monitors agrees that the primary has failed. */
	checkGroups(): void {
		const dueHandOvers = this.#chooseDueHandOvers();
		for (const group of this.#groups.values()) {
			group.checkInstances();
			void this.#promoteIfDue(group, dueHandOvers.has(group.state.name));
		}
	}

	close(): void {
		for (const group of this.#groups.values()) {
			group.close();
		}
	}

	/** Chooses the monitored groups whose primaries move out of an evacuated zone now. */
	#chooseDueHandOvers(): ReadonlySet<string> {
		const now = this.clock.getNow();
		let remainingMs = Number.POSITIVE_INFINITY;
		const pending = this.getGroups().flatMap(({state, isMonitoredLocally}) => {
			const groupRemainingMs = state.primary === undefined ? undefined : this.#evacuations.getRemainingMs(state.primary.zone, now);
			if (groupRemainingMs === undefined || !isMonitoredLocally || this.#promotingGroups.has(state.name) || now < (this.#handOverAt.get(state.name) ?? Number.NEGATIVE_INFINITY) + handOverIntervalMs) {
				return [];
			}

			remainingMs = Math.min(remainingMs, groupRemainingMs);
			return [{
				group: state.name,
				priority: this.#priorities.get(state.name) ?? priorityNumbers.low,
				hasCandidate: state.instances.some(instance => !instance.isEvacuated && !instance.isLeaving && instance.isReachable),
			}];
		});
		return new Set(chooseHandOvers(pending, this.#promotingGroups.size, remainingMs));
	}

	/** @param isHandOverDue - Whether the primary moves out of an evacuated zone, though it has not failed. */
	async #promoteIfDue(group: Group, isHandOverDue: boolean): Promise<void> {
		const {name} = group.state;
		const now = this.clock.getNow();
		const monitors = this.getMonitors(name);
		if (!group.isMonitoredLocally || this.#promotingGroups.has(name) || !(isHandOverDue || group.detector.isPromotionDue(this.vm, monitors, now))) {
			this.#promotionDueSince.delete(name);
			return;
		}

		const dueSince = this.#promotionDueSince.get(name) ?? now;
		this.#promotionDueSince.set(name, dueSince);
		if (now < dueSince + (monitors.indexOf(this.vm) * promotionStaggerMs)) {
			return;
		}

		this.#promotingGroups.add(name);
		this.#handOverAt.set(name, now);
		group.detector.recordPromotionStarted(now);
		await this.promoter.tryPromoteGroup(group);
		this.#promotingGroups.delete(name);
	}
}
