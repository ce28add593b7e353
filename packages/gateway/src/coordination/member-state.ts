import {type PrimaryEvidence} from '@chicorysaddle/decisions';
import {getOwnValue} from '@chicorysaddle/model';
import {type Heartbeat, type HeartbeatDelta} from '@chicorysaddle/protocol/coordination';
import {type PeerLink, type StoreVersion} from '../ports/index.js';

/** Maximum number of writes per second that one VM is taken to send to a group. */
const maxWritesPerS = 10_000;

/** What the coordinator knows about a VM from its heartbeats. */
export class MemberState {
	#writesPerS: Heartbeat['writesPerS'];
	#heartbeatAt: number;
	#closedAt: number | undefined;
	#tokensRequestedAt = Number.NEGATIVE_INFINITY;
	#sequence: number;
	#configurationVersion: number;
	#configurationTransfer: Heartbeat['configurationTransfer'];
	#instanceRevision: string | undefined;
	#evacuationVersion: StoreVersion = 0;
	#isHeartbeatComplete = true;
	#memberRevision: string | undefined;
	#echo: Heartbeat['echo'];
	readonly #evidence = new Map<string, PrimaryEvidence>();
	readonly #revisions = new Map<string, StoreVersion>();

	/**
	 * @param heartbeat - Complete heartbeat of the VM.
	 * @param link - Link on which it arrived, undefined for the coordinator's own heartbeat.
	 * @param convertRevision - Converts a revision of a former build, which states no era of the store.
	 * @param now - Monotonic time, in milliseconds.
	 */
	constructor(private readonly heartbeat: Heartbeat, readonly link: PeerLink | undefined, convertRevision: (revision: number) => StoreVersion, now: number) {
		this.#heartbeatAt = now;
		this.#sequence = heartbeat.sequence;
		this.#configurationVersion = heartbeat.configurationVersion;
		const revisions = heartbeat.storeRevisions ?? Object.fromEntries(Object.entries(heartbeat.revisions).map(([group, revision]) => [group, convertRevision(revision)]));
		this.#applyChanges({...heartbeat, revisions}, now);
	}

	get vm(): string {
		return this.heartbeat.vm;
	}

	get incarnation(): string {
		return this.heartbeat.incarnation;
	}

	/** Whether the VM reads compact reports. */
	get readsCompactReports(): boolean {
		return this.heartbeat.readsCompactReports === true;
	}

	/** Availability zone and peer address with which the coordinator registers the VM; undefined if it registers itself. */
	get registration(): Heartbeat['registration'] {
		return this.heartbeat.registration;
	}

	/** Monotonic time of the last heartbeat, in milliseconds. */
	get heartbeatAt(): number {
		return this.#heartbeatAt;
	}

	/** Monotonic time of the last heartbeat or request for tokens, in milliseconds. */
	get heardAt(): number {
		return Math.max(this.#heartbeatAt, this.#tokensRequestedAt);
	}

	/** Monotonic time at which the VM closed its link, in milliseconds; undefined while it is open, or if the end of the VM was not noticed. */
	get closedAt(): number | undefined {
		return this.#closedAt;
	}

	/** Sequence number of the last heartbeat. */
	get sequence(): number {
		return this.#sequence;
	}

	get configurationVersion(): number {
		return this.#configurationVersion;
	}

	/** Transfer of a configuration to the VM; undefined while there is none. */
	get configurationTransfer(): Heartbeat['configurationTransfer'] {
		return this.#configurationTransfer;
	}

	/** Revision of the instance list that the VM has, undefined if it reads the list from the store. */
	get instanceRevision(): string | undefined {
		return this.#instanceRevision;
	}

	/** Version of the evacuated zones that the VM stated, 0 if it stated none. */
	get evacuationVersion(): StoreVersion {
		return this.#evacuationVersion;
	}

	/** Whether the last heartbeat was a complete one. */
	get isHeartbeatComplete(): boolean {
		return this.#isHeartbeatComplete;
	}

	/** Revision of the member list that the VM has, undefined if it has none. */
	get memberRevision(): string | undefined {
		return this.#memberRevision;
	}

	/** Whether the VM forwards operations and can be a gateway. */
	get canForward(): boolean {
		return this.heartbeat.registration?.features?.includes('forwarding') === true;
	}

	/** Time stamp of the newest report that the VM has received on this link, in milliseconds; undefined if it received none. */
	get acknowledgedStampMs(): number | undefined {
		return this.#echo?.stampMs;
	}

	/** Records a request for tokens. */
	recordTokenRequest(now: number): void {
		this.#tokensRequestedAt = now;
	}

	/** Records that the VM closed its link. */
	recordClosed(now: number): void {
		this.#closedAt = now;
	}

	/** Returns the newest revision of a group's term that the VM has adopted, 0 if it has adopted none. */
	getRevision(group: string): StoreVersion {
		return this.#revisions.get(group) ?? 0;
	}

	/** Returns the evidence of the VM on a group's primary, with times of this VM's clock; undefined if it has none. */
	getEvidence(group: string): PrimaryEvidence | undefined {
		return this.#evidence.get(group);
	}

	/** Returns the writes per second that the VM sends to the primary of a group; an implausible number counts as none or as the maximum. */
	getWritesPerS(group: string): number {
		const perSecond = (this.#writesPerS && getOwnValue(this.#writesPerS, group)) ?? 0;
		return Number.isFinite(perSecond) ? Math.min(maxWritesPerS, Math.max(0, perSecond)) : 0;
	}

	/**
	 * Applies the changes since the last heartbeat.
	 * @returns Whether the delta builds on that heartbeat; if not, nothing was changed.
	 */
	applyDelta(delta: HeartbeatDelta, now: number): boolean {
		if (delta.base !== this.#sequence) {
			return false;
		}

		this.#heartbeatAt = now;
		this.#sequence = delta.sequence;
		this.#configurationVersion = delta.configurationVersion;
		this.#isHeartbeatComplete = false;
		this.#applyChanges(delta, now);
		return true;
	}

	#applyChanges({
		evidence, revisions, instanceRevision, memberRevision, evacuationVersion, configurationTransfer, echo, writesPerS,
	}: Heartbeat | HeartbeatDelta, now: number): void {
		this.#configurationTransfer = configurationTransfer;
		this.#writesPerS = writesPerS;
		this.#instanceRevision = instanceRevision;
		this.#memberRevision = memberRevision;
		this.#evacuationVersion = evacuationVersion ?? 0;
		this.#echo = echo;
		for (const [group, item] of Object.entries(evidence)) {
			this.#evidence.set(group, {
				vm: this.vm,
				instanceId: item.instanceId,
				answeredAt: item.answeredAgoMs === undefined ? undefined : now - item.answeredAgoMs,
				failingSince: item.failingForMs === undefined ? undefined : now - item.failingForMs,
				isRefused: item.isRefused === true,
			});
		}

		for (const [group, revision] of Object.entries(revisions)) {
			this.#revisions.set(group, revision);
		}
	}
}
