import {type PrimaryEvidence, TokenIssuer} from '@chicorysaddle/decisions';
import {
	type Heartbeat, type CoordinatorReport, type TokenGrants, type TokenDemands,
} from '@chicorysaddle/protocol/coordination';
import {type ConfigurationView} from '../configuration/index.js';
import {type Instance} from '../instances/index.js';
import {type Clock, type PeerLink} from '../ports/index.js';
import {termLeaseMs, type TermRegistry} from '../terms/index.js';
import {type CoordinatorLease} from './coordinator-lease.js';

/** Time without a heartbeat after which a VM's demand and evidence no longer count, milliseconds. */
const heartbeatTimeoutMs = 1500;

/** VMs beside the coordinator that read the store themselves, so that one whom it turns away learns of changes. */
const followerCount = 2;

/** Slack on top of a lease that has to run out, milliseconds. */
const leaseMarginMs = 50;

type MemberState = {
	link: PeerLink | undefined;
	heartbeat: Heartbeat;
	heartbeatAt: number;
};

/** What a coordinator works with. */
export type CoordinatorDependencies = {
	readonly vm: string;
	readonly coordinatorLease: CoordinatorLease;
	readonly terms: TermRegistry;
	readonly configuration: ConfigurationView;
	readonly clock: Clock;
	/** Window over which the limits of client accounts hold, milliseconds. */
	readonly limitWindowMs: number;
};

/** What the coordinator knows of the VMs: it answers their heartbeats and divides what they share. */
export class Coordinator {
	readonly #members = new Map<string, MemberState>();
	readonly #issuer: TokenIssuer;
	#registeredVms: ReadonlySet<string> = new Set();
	/** Absent until the list was read: an empty list would say that every instance is gone. */
	#instances: CoordinatorReport['instances'];

	constructor(private readonly dependencies: CoordinatorDependencies) {
		this.#issuer = new TokenIssuer(dependencies.limitWindowMs);
	}

	/** VMs that may hold a lease or a share, this one included. */
	get memberCount(): number {
		return new Set([...this.#registeredVms, ...this.#members.keys(), this.dependencies.vm]).size;
	}

	/** Sets the VMs that the store lists. */
	setRegisteredVms(vms: ReadonlySet<string>): void {
		this.#registeredVms = vms;
	}

	/** Returns the registered VMs that have not been heard for a time. */
	getSilentVms(silentMs: number): string[] {
		const now = this.dependencies.clock.now();
		return [...this.#registeredVms].filter(vm => vm !== this.dependencies.vm && now - Math.max(this.#members.get(vm)?.heartbeatAt ?? 0, this.dependencies.coordinatorLease.acquiredAt) > silentMs);
	}

	/** Forgets a VM that is gone. */
	removeMember(vm: string): void {
		this.#members.delete(vm);
	}

	/** Answers a heartbeat. */
	handleHeartbeat(heartbeat: Heartbeat, link: PeerLink | undefined): CoordinatorReport {
		const now = this.dependencies.clock.now();
		const isDelayed = heartbeat.sequence < (this.#members.get(heartbeat.vm)?.heartbeat.sequence ?? 0)
			&& heartbeat.incarnation === this.#members.get(heartbeat.vm)?.heartbeat.incarnation;
		if (!isDelayed) {
			if (heartbeat.incarnation !== this.#members.get(heartbeat.vm)?.heartbeat.incarnation) {
				this.#issuer.removeVm(heartbeat.vm);
			}

			this.#members.set(heartbeat.vm, {link, heartbeat, heartbeatAt: now});
		}

		this.#recordPositions(heartbeat);
		return this.createReport(heartbeat.vm, heartbeat.sequence);
	}

	/** Asks the other VMs whether one of them can take over. */
	offerHandOver(): void {
		for (const member of this.#members.values()) {
			member.link?.send({kind: 'offer', step: 'ask'});
		}
	}

	/** Tells every connected VM who coordinates from now on. */
	announceSuccessor(address: string): void {
		for (const member of this.#members.values()) {
			member.link?.send({kind: 'not-coordinator', coordinator: address});
		}
	}

	/** Tells every connected VM what is in force now. */
	pushReports(): void {
		for (const [vm, member] of this.#members) {
			member.link?.send(this.createReport(vm, undefined));
		}
	}

	createReport(vm: string, sequence: number | undefined): CoordinatorReport {
		const positions: CoordinatorReport['positions'] = {};
		const terms = this.dependencies.terms.getTerms();
		const heartbeat = this.#members.get(vm)?.heartbeat;
		const isKnown = terms.every(term => heartbeat?.revisions[term.group] === term.revision);
		for (const {group} of terms) {
			const newest = this.dependencies.terms.getNewestPosition(group);
			if (newest !== undefined) {
				positions[group] = {position: newest.position, ageMs: newest.ageMs};
			}
		}

		return {
			kind: 'report',
			sequence,
			stampMs: this.dependencies.clock.now(),
			token: this.dependencies.coordinatorLease.token,
			dutyRevision: this.dependencies.coordinatorLease.version,
			terms: isKnown ? undefined : terms,
			isFollower: this.#isFollower(vm),
			instances: heartbeat?.instanceRevision === this.#instances?.revision ? undefined : this.#instances,
			positions,
			configurationVersion: this.dependencies.configuration.version,
			members: this.memberCount,
		};
	}

	/** Sets the instances that the VMs are told. */
	setInstances(entries: readonly Instance[], now: number): void {
		this.#instances = {revision: `${this.dependencies.coordinatorLease.token}.${Math.round(now)}`, entries: [...entries]};
	}

	/** Gives a VM tokens of the accounts that it asks for. */
	issueTokens(vm: string, wants: TokenDemands): TokenGrants {
		const now = this.dependencies.clock.now();
		// A VM whose link was closed is gone with its process; one that is only silent may live and go on.
		const silence = {silent: this.getSilentVms(heartbeatTimeoutMs).filter(name => this.#members.get(name)?.link?.isOpen !== false), members: this.memberCount};
		const grants: TokenGrants = {};
		for (const [account, want] of Object.entries(wants)) {
			const limit = this.dependencies.configuration.getAccount(account);
			grants[account] = limit === undefined
				? {count: 0, waitMs: heartbeatTimeoutMs}
				: this.#issuer.grantTokens({
					vm, account, demand: want, limit,
				}, silence, now);
		}

		return grants;
	}

	/** Says whether a VM is one of the few that follow the store beside the coordinator. */
	#isFollower(vm: string): boolean {
		const now = this.dependencies.clock.now();
		const heard = [...this.#members].filter(([name, member]) => name !== this.dependencies.vm && now - member.heartbeatAt <= heartbeatTimeoutMs).map(([name]) => name).toSorted();
		return heard.indexOf(vm) < followerCount;
	}

	/** Returns the evidence that other VMs have on a group's primary, on this VM's clock. */
	getPrimaryEvidence(group: string): PrimaryEvidence[] {
		const now = this.dependencies.clock.now();
		return [...this.#members].flatMap(([vm, member]) => {
			const evidence = member.heartbeat.evidence[group];
			if (vm === this.dependencies.vm || evidence === undefined || now - member.heartbeatAt > heartbeatTimeoutMs) {
				return [];
			}

			return [{
				vm,
				instanceId: evidence.instanceId,
				answeredAt: evidence.answeredAgoMs === undefined ? undefined : member.heartbeatAt - evidence.answeredAgoMs,
				failingSince: evidence.failingForMs === undefined ? undefined : member.heartbeatAt - evidence.failingForMs,
				isRefused: evidence.isRefused === true,
			}];
		});
	}

	/** Returns how many VMs were heard lately, this one included. */
	countLiveVms(): number {
		const now = this.dependencies.clock.now();
		return [...this.#members].filter(([vm, member]) => vm !== this.dependencies.vm && now - member.heartbeatAt <= heartbeatTimeoutMs).length + 1;
	}

	/**
	 * Says whether no VM can still act by a group's term before a revision.
	 * @param closedAt - Steady time at which the store had acknowledged the revision.
	 * @param registered - VMs that the store listed after that.
	 */
	isTermClosed(group: string, revision: number, closedAt: number, registered: ReadonlySet<string>): boolean {
		const now = this.dependencies.clock.now();
		if (now < this.dependencies.coordinatorLease.acquiredAt + termLeaseMs + leaseMarginMs) {
			return false;
		}

		const others = new Set([...registered, ...this.#members.keys()]);
		others.delete(this.dependencies.vm);
		const isAcknowledged = [...others].every(vm => (this.#members.get(vm)?.heartbeat.revisions[group] ?? 0) >= revision);
		return (isAcknowledged && this.dependencies.terms.isDrained(group)) || now >= closedAt + termLeaseMs + leaseMarginMs;
	}

	#recordPositions(heartbeat: Heartbeat): void {
		if (heartbeat.echo === undefined) {
			return;
		}

		// The sender had our stamp for this long when it wrote the heartbeat, which was no earlier than that.
		const sentAt = heartbeat.echo.stampMs + heartbeat.echo.ageMs;
		for (const [group, {position, ageMs}] of Object.entries(heartbeat.positions)) {
			this.dependencies.terms.recordPosition(group, position, Math.min(sentAt, this.dependencies.clock.now()) - ageMs);
		}
	}
}
