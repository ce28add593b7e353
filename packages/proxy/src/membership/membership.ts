import {type ListedVm, type VmList} from '@chicorysaddle/store';
import {type Clock} from '../observability/index.js';
import {Peer, type PeerOptions} from './peer.js';

/** A peer that is neither listed nor heard is dropped after this time, in milliseconds. */
const peerExpiryMs = 10_000;
/** A peer counts as live when it was heard within this time, in milliseconds. */
const livenessTimeoutMs = 3000;
/** A peer is settled when it was heard for this time without a restart, in milliseconds. */
const minStableMs = 3000;

/** This VM as others see it. */
export type LocalVm = {
	readonly name: string;
	readonly incarnation: string;
	readonly zone: string;
	/** Address of the peer port. */
	readonly address: string;
};

/** The proxies that this one knows, from the platform's lagging list and from the peers themselves. */
export class Membership {
	readonly #peers = new Map<string, Peer>();
	#listedVms = new Map<string, ListedVm>();
	/** Whether this VM takes no new work. */
	isDraining = false;

	constructor(readonly self: LocalVm, private readonly vmList: VmList, private readonly peerOptions: PeerOptions, private readonly clock: Clock) {}

	/** VM and incarnation of this process. */
	get id(): string {
		return `${this.self.name}#${this.self.incarnation}`;
	}

	get peers(): Peer[] {
		return [...this.#peers.values()];
	}

	getPeer(name: string): Peer | undefined {
		return this.#peers.get(name);
	}

	isListed(name: string): boolean {
		return this.#listedVms.has(name);
	}

	/** Returns every VM that may be using endpoints, this one included. */
	getVms(): Array<{name: string; zone: string}> {
		return [{name: this.self.name, zone: this.self.zone}, ...this.peers.map(peer => ({name: peer.name, zone: peer.zone}))];
	}

	/**
	 * Returns how many VMs share the connections of an endpoint, infinitely many while this one is not listed,
	 * since the others do not count it yet.
	 */
	countEndpointSharers(voters: readonly string[]): number {
		return this.isListed(this.self.name) ? Math.max(this.getVms().length, voters.length) : Number.POSITIVE_INFINITY;
	}

	/** Returns the VMs that answer and take work, this one included, in order of name. */
	getLiveVms(): string[] {
		const now = this.clock.getNow();
		const peers = this.peers.filter(peer => this.isLive(peer, now) && !peer.isDraining);
		return [...peers.map(peer => peer.name), ...this.isDraining ? [] : [this.self.name]].toSorted();
	}

	/** Says whether a peer has been heard for some time without a restart. */
	isStable(name: string): boolean {
		const peer = this.#peers.get(name);
		const now = this.clock.getNow();
		return peer !== undefined && this.isLive(peer, now) && now - peer.incarnationSince >= minStableMs;
	}

	isLive(peer: Peer, now: number): boolean {
		return now - peer.answeredRequestSentAt <= livenessTimeoutMs;
	}

	/** Reads the platform's list. */
	async refreshVmList(): Promise<void> {
		const listed = await this.vmList.listVms();
		listed.ifRight(vms => {
			this.#applyVmList(vms);
		});
	}

	/** Takes in that a VM exists. */
	addOrUpdatePeer(name: string, address: string, zone: string): Peer | undefined {
		if (name === this.self.name || address === '') {
			return undefined;
		}

		const known = this.#peers.get(name);
		// A listed address goes before the one that a peer gives of itself.
		const peer = known !== undefined && (known.address === address || this.#listedVms.has(name)) ? known : this.#replacePeer(name, address, zone);
		peer.lastSeenAt = this.clock.getNow();
		return peer;
	}

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

			const known = this.#peers.get(vm.name);
			const peer = known?.address === vm.address ? known : this.#replacePeer(vm.name, vm.address, vm.zone);
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
