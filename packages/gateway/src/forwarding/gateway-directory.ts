import {
	chooseGateway, chooseGateways, computeGatewayShare, gatewayFraction, type GatewayCandidate, type GatewayInstance,
} from '@chicorysaddle/decisions';
import {type CoordinatorReport, type MemberEntry} from '@chicorysaddle/protocol/coordination';
import {type ConfigurationView} from '../configuration/index.js';
import {type ConnectionShare} from '../dispatch/index.js';
import {type Instance} from '../instances/index.js';
import {applyMemberChanges} from './member-feed.js';

/**
 * Even share of connections under which they are scarce, in connections for each VM: below it, most VMs have no second connection while a transaction holds one.
 * In deployments of few VMs above it, forwarding saves few connections, and each operation depends on a second VM.
 */
const ampleShare = 1.5;

/** A VM that holds connections to an instance for other VMs. */
export type GatewayMember = GatewayCandidate & {readonly address: string};

/** Dependencies of a `GatewayDirectory`. */
export type GatewayDirectoryDependencies = {
	readonly identity: {readonly vm: string; readonly regions: ReadonlyMap<string, string>};
	readonly configuration: ConfigurationView;
};

type InstanceGateways = {
	readonly connections: number;
	readonly zone: string;
	readonly gateways: readonly GatewayMember[];
	readonly byAccount: Map<string, GatewayMember | undefined>;
};

/** Knows the members that can be gateways, and which of them are the gateways of each instance with scarce connections. */
export class GatewayDirectory {
	#members: readonly GatewayMember[] = [];
	#entries: readonly MemberEntry[] = [];
	#revision: string | undefined;
	#memberCount = 1;
	/** Version of the configuration for which the gateways are known: a later one may lack some of their accounts. */
	#configurationVersion = 0;
	readonly #gatewaysByInstance = new Map<string, InstanceGateways>();

	constructor(private readonly dependencies: GatewayDirectoryDependencies) {}

	/** Revision of the member list, undefined if there is none. */
	get revision(): string | undefined {
		return this.#revision;
	}

	/** Members that can be gateways. */
	get members(): readonly GatewayMember[] {
		return this.#members;
	}

	/** Whether an instance of any group has fewer connections for each VM than an ample share. */
	get hasScarceGroups(): boolean {
		return this.dependencies.configuration.configuration?.groups.some(({name}) => this.isScarce(name)) === true;
	}

	/** Sets the number of VMs that share the connections of an instance. */
	setMemberCount(memberCount: number): void {
		this.#memberCount = Math.max(1, memberCount);
	}

	/** Returns whether the instances of a group have fewer connections for each VM than an ample share. */
	isScarce(group: string): boolean {
		return this.#getConnections(group) < ampleShare * this.#memberCount;
	}

	/** Applies the member list, or its changes, of a report; a coordinator that reports none clears the list. */
	applyReport({memberRevision, memberList, memberChanges}: CoordinatorReport): void {
		if (memberRevision === this.#revision) {
			return;
		}

		if (memberList !== undefined || memberRevision === undefined) {
			this.#setEntries(memberRevision, memberList ?? []);
		} else if (memberChanges !== undefined && memberChanges.base === this.#revision) {
			this.#setEntries(memberRevision, applyMemberChanges(this.#entries, memberChanges));
		}
	}

	/** Returns the gateways of an instance; none where connections are ample. */
	getGateways(instance: Instance): readonly GatewayMember[] {
		return this.isScarce(instance.group) ? this.#getInstanceGateways(instance).gateways : [];
	}

	/** Returns the gateway that holds the connections of an account to an instance, undefined if there is none. */
	getGateway(instance: Instance, account: string): GatewayMember | undefined {
		if (!this.isScarce(instance.group)) {
			return undefined;
		}

		const {gateways, byAccount} = this.#getInstanceGateways(instance);
		if (!byAccount.has(account)) {
			byAccount.set(account, chooseGateway(this.#createGatewayInstance(instance), account, gateways));
		}

		return byAccount.get(account);
	}

	/** Returns whether this VM is a gateway of an instance. */
	isGateway(instance: Instance): boolean {
		return this.getGateways(instance).some(({vm}) => vm === this.dependencies.identity.vm);
	}

	/** Returns which part of an instance's connections this VM may use, undefined if the instance has no gateways. */
	getShare(instance: Instance): ConnectionShare | undefined {
		const gateways = this.getGateways(instance);
		const connections = this.#getConnections(instance.group);
		if (gateways.length === 0) {
			return undefined;
		}

		return this.isGateway(instance)
			? {kind: 'gateway', connections: computeGatewayShare(connections, gateways.length)}
			: {kind: 'rest', capacity: connections * (1 - gatewayFraction), vms: Math.max(1, this.#memberCount - gateways.length)};
	}

	/** Forgets the gateways of an instance that is gone. */
	removeInstance(id: string): void {
		this.#gatewaysByInstance.delete(id);
	}

	#getConnections(group: string): number {
		return this.dependencies.configuration.getGroup(group)?.maxConnections ?? Number.POSITIVE_INFINITY;
	}

	#getInstanceGateways(instance: Instance): InstanceGateways {
		const {version} = this.dependencies.configuration;
		if (version !== this.#configurationVersion) {
			this.#configurationVersion = version;
			this.#gatewaysByInstance.clear();
		}

		const connections = this.#getConnections(instance.group);
		const known = this.#gatewaysByInstance.get(instance.id);
		if (known?.connections === connections && known.zone === instance.zone) {
			return known;
		}

		const gateways: InstanceGateways = {
			connections, zone: instance.zone, gateways: chooseGateways(this.#createGatewayInstance(instance), this.#members), byAccount: new Map(),
		};
		this.#gatewaysByInstance.set(instance.id, gateways);
		return gateways;
	}

	#createGatewayInstance({id, zone, group}: Instance): GatewayInstance {
		return {
			id, zone, region: this.dependencies.identity.regions.get(zone) ?? '', connections: this.#getConnections(group),
		};
	}

	#setEntries(revision: string | undefined, entries: readonly MemberEntry[]): void {
		this.#revision = revision;
		this.#entries = entries;
		this.#members = entries.map(({vm, zone, region, address, capacity, isDraining}) => ({
			vm, zone, region: region ?? '', address, capacity, isDraining: isDraining === true,
		}));
		this.#gatewaysByInstance.clear();
	}
}
