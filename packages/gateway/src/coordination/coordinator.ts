import {type PrimaryEvidence, TokenIssuer} from '@chicorysaddle/decisions';
import {
	type Heartbeat, type CoordinatorReport, type TokenGrants, type TokenDemands,
} from '@chicorysaddle/protocol/coordination';
import {type ConfigurationView} from '../configuration/index.js';
import {type Instance} from '../instances/index.js';
import {type Clock, type PeerLink} from '../ports/index.js';
import {termLeaseMs, type TermRegistry} from '../terms/index.js';
import {type DutyKeeper} from './duty-keeper.js';

/** Time without a heartbeat after which a VM's demand and evidence no longer count, milliseconds. */
const heardMs = 1500;

/** VMs beside the coordinator that read the store themselves, so that one whom it turns away learns of changes. */
const followerCount = 2;

/** Slack on top of a lease that has to run out, milliseconds. */
const leaseMarginMs = 50;

type MemberState = {
	link: PeerLink | undefined;
	heartbeat: Heartbeat;
	heardAt: number;
};

/** What a coordinator works with. */
export type CoordinatorParts = {
	readonly vm: string;
	readonly duty: DutyKeeper;
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
	#registered: ReadonlySet<string> = new Set();
	/** Absent until the list was read: an empty list would say that every instance is gone. */
	#instances: CoordinatorReport['instances'];

	constructor(private readonly parts: CoordinatorParts) {
		this.#issuer = new TokenIssuer(parts.limitWindowMs);
	}

	/** VMs that may hold a lease or a share, this one included. */
	get memberCount(): number {
		return new Set([...this.#registered, ...this.#members.keys(), this.parts.vm]).size;
	}

	/** Sets the VMs that the store lists. */
	setRegistered(vms: ReadonlySet<string>): void {
		this.#registered = vms;
	}

	/** Returns the registered VMs that have not been heard for a time. */
	getSilent(silentMs: number): string[] {
		const now = this.parts.clock.now();
		return [...this.#registered].filter(vm => vm !== this.parts.vm && now - Math.max(this.#members.get(vm)?.heardAt ?? 0, this.parts.duty.tookOverAt) > silentMs);
	}

	/** Forgets a VM that is gone. */
	removeMember(vm: string): void {
		this.#members.delete(vm);
	}

	/** Answers a heartbeat. */
	receiveHeartbeat(heartbeat: Heartbeat, link: PeerLink | undefined): CoordinatorReport {
		const now = this.parts.clock.now();
		const isDelayed = heartbeat.sequence < (this.#members.get(heartbeat.vm)?.heartbeat.sequence ?? 0)
			&& heartbeat.incarnation === this.#members.get(heartbeat.vm)?.heartbeat.incarnation;
		if (!isDelayed) {
			if (heartbeat.incarnation !== this.#members.get(heartbeat.vm)?.heartbeat.incarnation) {
				this.#issuer.removeVm(heartbeat.vm);
			}

			this.#members.set(heartbeat.vm, {link, heartbeat, heardAt: now});
		}

		this.#observePositions(heartbeat);
		return this.createReport(heartbeat.vm, heartbeat.sequence);
	}

	/** Asks the other VMs whether one of them can take over. */
	offerDuty(): void {
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
		const terms = this.parts.terms.getTerms();
		const heartbeat = this.#members.get(vm)?.heartbeat;
		const isKnown = terms.every(term => heartbeat?.revisions[term.group] === term.revision);
		for (const {group} of terms) {
			const newest = this.parts.terms.getNewestPosition(group);
			if (newest !== undefined) {
				positions[group] = {position: newest.position, ageMs: newest.ageMs};
			}
		}

		return {
			kind: 'report',
			sequence,
			stampMs: this.parts.clock.now(),
			token: this.parts.duty.token,
			dutyRevision: this.parts.duty.version,
			terms: isKnown ? undefined : terms,
			isFollower: this.#isFollower(vm),
			instances: heartbeat?.instanceRevision === this.#instances?.revision ? undefined : this.#instances,
			positions,
			configurationVersion: this.parts.configuration.version,
			members: this.memberCount,
		};
	}

	/** Sets the instances that the VMs are told. */
	setInstances(entries: readonly Instance[], now: number): void {
		this.#instances = {revision: `${this.parts.duty.token}.${Math.round(now)}`, entries: [...entries]};
	}

	/** Gives a VM tokens of the accounts that it asks for. */
	issueTokens(vm: string, wants: TokenDemands): TokenGrants {
		const now = this.parts.clock.now();
		// A VM whose link was closed is gone with its process; one that is only silent may live and go on.
		const silence = {silent: this.getSilent(heardMs).filter(name => this.#members.get(name)?.link?.isOpen !== false), members: this.memberCount};
		const grants: TokenGrants = {};
		for (const [account, want] of Object.entries(wants)) {
			const limit = this.parts.configuration.getAccount(account);
			grants[account] = limit === undefined
				? {count: 0, waitMs: heardMs}
				: this.#issuer.grantTokens({
					vm, account, demand: want, limit,
				}, silence, now);
		}

		return grants;
	}

	/** Says whether a VM is one of the few that follow the store beside the coordinator. */
	#isFollower(vm: string): boolean {
		const now = this.parts.clock.now();
		const heard = [...this.#members].filter(([name, member]) => name !== this.parts.vm && now - member.heardAt <= heardMs).map(([name]) => name).toSorted();
		return heard.indexOf(vm) < followerCount;
	}

	/** Returns the evidence that other VMs have on a group's primary, on this VM's clock. */
	getEvidence(group: string): PrimaryEvidence[] {
		const now = this.parts.clock.now();
		return [...this.#members].flatMap(([vm, member]) => {
			const evidence = member.heartbeat.evidence[group];
			if (vm === this.parts.vm || evidence === undefined || now - member.heardAt > heardMs) {
				return [];
			}

			return [{
				vm,
				instanceId: evidence.instanceId,
				answeredAt: evidence.answeredAgoMs === undefined ? undefined : member.heardAt - evidence.answeredAgoMs,
				failingSince: evidence.failingForMs === undefined ? undefined : member.heardAt - evidence.failingForMs,
				isRefused: evidence.isRefused === true,
			}];
		});
	}

	/** Returns how many VMs were heard lately, this one included. */
	countHeard(): number {
		const now = this.parts.clock.now();
		return [...this.#members].filter(([vm, member]) => vm !== this.parts.vm && now - member.heardAt <= heardMs).length + 1;
	}

	/**
	 * Says whether no VM can still act by a group's term before a revision.
	 * @param closedAt - Steady time at which the store had acknowledged the revision.
	 * @param registered - VMs that the store listed after that.
	 */
	isClosed(group: string, revision: number, closedAt: number, registered: ReadonlySet<string>): boolean {
		const now = this.parts.clock.now();
		if (now < this.parts.duty.tookOverAt + termLeaseMs + leaseMarginMs) {
			return false;
		}

		const others = new Set([...registered, ...this.#members.keys()]);
		others.delete(this.parts.vm);
		const isAcknowledged = [...others].every(vm => (this.#members.get(vm)?.heartbeat.revisions[group] ?? 0) >= revision);
		return (isAcknowledged && this.parts.terms.isDrained(group)) || now >= closedAt + termLeaseMs + leaseMarginMs;
	}

	#observePositions(heartbeat: Heartbeat): void {
		if (heartbeat.echo === undefined) {
			return;
		}

		// The sender had our stamp for this long when it wrote the heartbeat, which was no earlier than that.
		const sentAt = heartbeat.echo.stampMs + heartbeat.echo.ageMs;
		for (const [group, {position, ageMs}] of Object.entries(heartbeat.positions)) {
			this.parts.terms.observePosition(group, position, Math.min(sentAt, this.parts.clock.now()) - ageMs);
		}
	}
}
