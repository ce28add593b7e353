import {
	chooseFollowers, DistributionTree, type SnapshotHolder, type SnapshotSource, SnapshotSourceChooser, type TreeMember,
} from '@chicorysaddle/decisions';
import {type CoordinatorReport} from '@chicorysaddle/protocol/coordination';
import {type ConfigurationView, type ConfigurationWatcher} from '../configuration/index.js';
import {type Clock} from '../ports/index.js';
import {type MemberState} from './member-state.js';
import {type PeerFeature} from './peer-features.js';

const partsFeature: PeerFeature = 'configuration-parts';

/** Dependencies of a `ConfigurationAssigner`. */
export type ConfigurationAssignerDependencies = {
	readonly vm: string;
	readonly configuration: ConfigurationView;
	readonly configurationWatcher: ConfigurationWatcher;
	/** Region of each availability zone; empty where all zones are in one region. */
	readonly regions: ReadonlyMap<string, string>;
	readonly clock: Clock;
};

/** The part of a report that tells a VM where it gets the configuration. */
export type ConfigurationAssignment = Pick<CoordinatorReport, 'configurationSource' | 'configurationParts'>;

/** Assignment of a VM that lacks nothing or reads the store. */
export const noAssignment: ConfigurationAssignment = {configurationSource: undefined, configurationParts: undefined};

/** Assigns each VM the source from which it gets a newer configuration, on the coordinator. */
export class ConfigurationAssigner {
	readonly #sourceChooser = new SnapshotSourceChooser();
	readonly #tree = new DistributionTree();

	constructor(private readonly dependencies: ConfigurationAssignerDependencies) {}

	/** Whether the configuration is distributed in parts, with one reader of the store in each region. */
	get isTree(): boolean {
		const {regions, configurationWatcher} = this.dependencies;
		return regions.size > 0 || configurationWatcher.snapshot?.isLarge === true;
	}

	/**
	 * Chooses where a VM that lacks the active version gets it, for a report to the VM.
	 * @param members - All live VMs.
	 * @param followers - VMs that poll the store.
	 */
	createAssignment(member: MemberState, members: readonly MemberState[], followers: ReadonlySet<string>): ConfigurationAssignment {
		const {configuration, clock} = this.dependencies;
		// A VM of the previous build reads the store or gets the whole configuration, as it did before.
		if (!this.isTree || !hasPartsFeature(member)) {
			const source = this.#sourceChooser.chooseSource(createSnapshotHolder(member), configuration.version, members.map(other => createSnapshotHolder(other)), clock.now());
			return {...noAssignment, configurationSource: sourceFormatters[source.kind](source)};
		}

		const treeMembers = members.map(other => this.#createTreeMember(other, followers));
		const receiver = this.#createTreeMember(member, followers);
		const source = this.#tree.chooseSource(receiver, configuration.version, treeMembers, clock.now());
		return {configurationSource: sourceFormatters[source.kind](source), configurationParts: true};
	}

	/** Returns whether a VM lacks the active version and has no source yet. */
	isWaiting(member: MemberState): boolean {
		const {vm, configurationVersion} = member;
		const {version} = this.dependencies.configuration;
		return hasPartsFeature(member) && configurationVersion < version && !this.#tree.isAssigned(vm, version);
	}

	/**
	 * Chooses the followers when the configuration is distributed in parts: one in each region without the coordinator,
	 * and one other VM if there is only one region, since each reads a large configuration from the store.
	 * @param liveMembers - Live VMs besides the coordinator, in order of preference.
	 */
	chooseFollowers(liveMembers: readonly MemberState[], coordinatorZone: string | undefined): string[] {
		const followersByRegion = new Map<string, string>();
		const ownRegion = this.#getRegion(coordinatorZone ?? '', undefined);
		for (const {vm, registration} of liveMembers) {
			const region = this.#getRegion(registration?.zone ?? '', registration?.region);
			if (region !== ownRegion && !followersByRegion.has(region)) {
				followersByRegion.set(region, vm);
			}
		}

		return followersByRegion.size > 0
			? [...followersByRegion.values()]
			: chooseFollowers(liveMembers.map(({vm, registration}) => ({vm, zone: registration?.zone ?? ''})), coordinatorZone, 1);
	}

	#getRegion(zone: string, region: string | undefined): string {
		return region ?? this.dependencies.regions.get(zone) ?? '';
	}

	#createTreeMember(member: MemberState, followers: ReadonlySet<string>): TreeMember {
		const {vm, registration, configurationTransfer} = member;
		const holder = createSnapshotHolder(member);
		return {
			...holder,
			// The coordinator's own heartbeat may be from before its newest version.
			version: vm === this.dependencies.vm ? this.dependencies.configuration.version : holder.version,
			region: this.#getRegion(holder.zone, registration?.region),
			readsParts: hasPartsFeature(member),
			isFollower: followers.has(vm),
			receivedBytes: configurationTransfer?.receivedBytes,
			failedSource: configurationTransfer?.failedSource,
		};
	}
}

/** Formatters of a source for a report, by kind. */
const sourceFormatters: Readonly<Record<SnapshotSource['kind'], (source: SnapshotSource) => string | undefined>> = {
	store: () => undefined,
	wait: () => '',
	peer: source => source.kind === 'peer' ? source.address : undefined,
};

function hasPartsFeature({registration}: MemberState): boolean {
	return registration?.features?.includes(partsFeature) === true;
}

function createSnapshotHolder({vm, registration, configurationVersion}: MemberState): SnapshotHolder {
	return {
		vm, zone: registration?.zone ?? '', address: registration?.address ?? '', version: configurationVersion,
	};
}
