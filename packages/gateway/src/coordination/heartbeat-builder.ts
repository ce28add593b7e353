import {type ClockReading} from '@chicorysaddle/decisions';
import {type Heartbeat, type CoordinatorReport} from '@chicorysaddle/protocol/coordination';
import {type ConfigurationView} from '../configuration/index.js';
import {type Dispatcher} from '../dispatch/index.js';
import {type Clock} from '../ports/index.js';
import {type TermRegistry} from '../terms/index.js';
import {type GatewayIdentity} from './gateway-identity.js';

/** Maximum number of sent heartbeats that are kept for matching with reports. */
const maxPendingHeartbeats = 8;

/** Dependencies of a `HeartbeatBuilder`. */
export type HeartbeatBuilderDependencies = {
	readonly identity: GatewayIdentity;
	readonly terms: TermRegistry;
	readonly configuration: ConfigurationView;
	readonly dispatcher: Dispatcher;
	readonly clock: Clock;
};

/** Creates the heartbeats of this VM and records when each was created. */
export class HeartbeatBuilder {
	#sequence = 0;
	/** Newest heartbeats, which a report may still answer. */
	#pendingHeartbeats: Array<{readonly sequence: number; readonly at: ClockReading}> = [];
	/** Timestamp of the last report, sent back in heartbeats so that the coordinator can convert times to its own clock. */
	#echo: {readonly stampMs: number; readonly receivedAt: number} | undefined;

	constructor(private readonly dependencies: HeartbeatBuilderDependencies) {}

	/**
	 * Creates a heartbeat; it has to be sent at once, since it contains ages as of now.
	 * @param instanceRevision - Revision of the instance list that this VM last received.
	 */
	createHeartbeat(instanceRevision: string | undefined): Heartbeat {
		const {identity, terms, configuration, clock} = this.dependencies;
		const now = clock.now();
		this.#sequence += 1;
		this.#pendingHeartbeats = [...this.#pendingHeartbeats, {sequence: this.#sequence, at: terms.getClockReading()}].slice(-maxPendingHeartbeats);
		return {
			kind: 'heartbeat',
			vm: identity.vm,
			incarnation: identity.incarnation,
			sequence: this.#sequence,
			positions: this.#createPositions(),
			evidence: this.#createEvidence(now),
			revisions: Object.fromEntries(terms.getTerms().map(({group}) => [group, terms.getDrainedRevision(group)])),
			configurationVersion: configuration.version,
			instanceRevision,
			echo: this.#echo === undefined ? undefined : {stampMs: this.#echo.stampMs, ageMs: now - this.#echo.receivedAt},
		};
	}

	/** Returns whether this VM is still draining the writes of a closing term. */
	isDraining(): boolean {
		return this.dependencies.terms.getTerms().some(term => this.dependencies.terms.getDrainedRevision(term.group) !== term.revision);
	}

	/** Records a report; returns the time of the heartbeat that it answers, undefined if it answers none of the last ones. */
	recordReport(report: CoordinatorReport): ClockReading | undefined {
		this.#echo = {stampMs: report.stampMs, receivedAt: this.dependencies.clock.now()};
		return this.#pendingHeartbeats.find(heartbeat => heartbeat.sequence === report.sequence)?.at;
	}

	#createPositions(): Heartbeat['positions'] {
		const positions: Heartbeat['positions'] = {};
		for (const {group} of this.dependencies.terms.getTerms()) {
			const position = this.dependencies.terms.getNewestPosition(group);
			if (position !== undefined) {
				positions[group] = position;
			}
		}

		return positions;
	}

	#createEvidence(now: number): Heartbeat['evidence'] {
		const evidence: Heartbeat['evidence'] = {};
		for (const {group, primaryId} of this.dependencies.terms.getTerms()) {
			const primaryEvidence = this.dependencies.dispatcher.getTracker(primaryId)?.createEvidence(this.dependencies.identity.vm, now);
			if (primaryEvidence !== undefined) {
				evidence[group] = {
					instanceId: primaryEvidence.instanceId,
					answeredAgoMs: primaryEvidence.answeredAt === undefined ? undefined : now - primaryEvidence.answeredAt,
					failingForMs: primaryEvidence.failingSince === undefined ? undefined : now - primaryEvidence.failingSince,
					isRefused: primaryEvidence.isRefused || undefined,
				};
			}
		}

		return evidence;
	}
}
