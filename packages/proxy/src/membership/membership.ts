import {type ListedVm, type VmList} from '@chicorysaddle/store';
import {type Clock} from '../observability/index.js';
import {Peer, type PeerOptions} from './peer.js';

/** Time after which a peer that is neither listed nor in contact is removed, in milliseconds. */
const peerExpiryMs = 10_000;
/** Maximum time since the latest poll that a live peer has answered, in milliseconds. */
const livenessTimeoutMs = 3000;
/** Minimum time without a restart for a live peer to count as stable, in milliseconds. */
const minStableMs = 3000;

/** Identity of this VM, as its peers see it. */
export type LocalVm = {
	readonly name: string;
	/** Random id of this process, which differs after a restart. */
	readonly incarnation: string;
	readonly zone: string;
	/** Host and port of the peer listener. */
	readonly address: string;
};

/** The VMs that this proxy knows: those in the platform's VM list, which may be outdated, and those that have sent it a request. */
export class Membership {
	readonly #peers = new Map<string, Peer>();
	#listedVms = new Map<string, ListedVm>();
	/** Whether this VM drains and takes no new work. */
	isDraining = false;

	constructor(readonly self: LocalVm, private readonly vmList: VmList, private readonly peerOptions: PeerOptions, private readonly clock: Clock) {}

	/** VM and incarnation of this process, separated by `#`. */
	get id(): string {
		return `${this.self.name}#${this.self.incarnation}`;
	}

	get peers(): Peer[] {
		return [...this.#peers.values()];
	}

	getPeer(name: string): Peer | undefined {
		return this.#peers.get(name);
	}

	/** Returns whether the platform's VM list contains a VM. */
	isListed(name: string): boolean {
		return this.#listedVms.has(name);
	}

	/** Returns every VM that may use endpoints, this one included. */
	getVms(): Array<{name: string; zone: string}> {
		return [{name: this.self.name, zone: this.self.zone}, ...this.peers.map(peer => ({name: peer.name, zone: peer.zone}))];
	}

	/**
	 * Returns how many VMs share the connections of an endpoint; infinity while this VM is not listed,
	 * because the other VMs do not count it yet.
	 */
	countEndpointSharers(voters: readonly string[]): number {
		return this.isListed(this.self.name) ? Math.max(this.getVms().length, voters.length) : Number.POSITIVE_INFINITY;
	}

	/** Returns the names of the live VMs that are not draining, this one included, sorted. */
	getLiveVms(): string[] {
		const now = this.clock.getNow();
		const peers = this.peers.filter(peer => this.isLive(peer, now) && !peer.isDraining);
		return [...peers.map(peer => peer.name), ...this.isDraining ? [] : [this.self.name]].toSorted();
	}

	/** Returns whether a peer is live and has run for some time without a restart. */
	isStable(name: string): boolean {
		const peer = this.#peers.get(name);
		const now = this.clock.getNow();
		return peer !== undefined && this.isLive(peer, now) && now - peer.incarnationSince >= minStableMs;
	}

	/** Returns whether a peer has answered a poll recently. */
	isLive(peer: Peer, now: number): boolean {
		return now - peer.answeredRequestSentAt <= livenessTimeoutMs;
	}

	/** Reads the platform's VM list; if that fails, the previous list stays in force. */
	async refreshVmList(): Promise<void> {
		const listed = await this.vmList.listVms();
		listed.ifRight(vms => {
			this.#applyVmList(vms);
		});
	}

	/** Records a VM that sent a request; returns its peer, undefined for this VM and for one without an address. */
	addOrUpdatePeer(name: string, address: string, zone: string): Peer | undefined {
		if (name === this.self.name || address === '') {
			return undefined;
		}

		const existing = this.#peers.get(name);
		// A listed address takes precedence over the one in the peer's request.
		const peer = existing !== undefined && (existing.address === address || this.#listedVms.has(name)) ? existing : this.#replacePeer(name, address, zone);
		peer.lastSeenAt = this.clock.getNow();
		return peer;
	}

	/** Closes the connections to all peers. */
	close(): void {
		for (const peer of this.peers) {
			peer.close();
		}
	}

	#applyVmList(vms: readonly ListedVm[]): void {
		const now = this.clock.getNow();
		this.#listedVms = new Map(vms.map(vm => [vm.name, vm]));
		for (const vm of vms) {
			if (vm.name === this.self.name) {
				continue;
			}

			const existing = this.#peers.get(vm.name);
			const peer = existing?.address === vm.address ? existing : this.#replacePeer(vm.name, vm.address, vm.zone);
			peer.isLeaving = vm.state === 'leaving';
			peer.lastSeenAt = now;
		}

		for (const peer of this.peers) {
			if (!this.#listedVms.has(peer.name) && now - Math.max(peer.lastSeenAt, peer.answeredRequestSentAt) > peerExpiryMs) {
				peer.close();
				this.#peers.delete(peer.name);
			}
		}
	}

	#replacePeer(name: string, address: string, zone: string): Peer {
		this.#peers.get(name)?.close();
		const peer = new Peer(name, address, zone, this.peerOptions);
		this.#peers.set(name, peer);
		return peer;
	}
}
