import {type ClockReading} from '@chicorysaddle/decisions';
import {type Heartbeat, type CoordinatorReport} from '@chicorysaddle/protocol/coordination';
import {type ConfigurationView} from '../configuration/index.js';
import {type Dispatcher} from '../dispatch/index.js';
import {type Clock} from '../ports/index.js';
import {type TermRegistry} from '../terms/index.js';
import {type GatewayIdentity} from './gateway-identity.js';

/** Heartbeats whose answers may still come. */
const maxPendingHeartbeats = 8;

/** What heartbeats are written from. */
export type HeartbeatBuilderDependencies = {
	readonly identity: GatewayIdentity;
	readonly terms: TermRegistry;
	readonly configuration: ConfigurationView;
	readonly dispatcher: Dispatcher;
	readonly clock: Clock;
};

/** Writes what this VM tells the coordinator, and remembers when. */
export class HeartbeatBuilder {
	#sequence = 0;
	#sent: Array<{readonly sequence: number; readonly at: ClockReading}> = [];
	#echo: {readonly stampMs: number; readonly receivedAt: number} | undefined;

	constructor(private readonly dependencies: HeartbeatBuilderDependencies) {}

	/**
	 * Writes a heartbeat that is sent now.
	 * @param instanceRevision - List of instances that this VM was told last.
	 */
	createHeartbeat(instanceRevision: string | undefined): Heartbeat {
		const {identity, terms, configuration, clock} = this.dependencies;
		const now = clock.now();
		this.#sequence += 1;
		this.#sent = [...this.#sent, {sequence: this.#sequence, at: terms.getClockReading()}].slice(-maxPendingHeartbeats);
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

	/** Says whether the newest heartbeat told that a closing term is still drained here. */
	isDraining(): boolean {
		return this.dependencies.terms.getTerms().some(term => this.dependencies.terms.getDrainedRevision(term.group) !== term.revision);
	}

	/** Takes in a report; returns when the heartbeat was sent that it answers, if it answers one. */
	recordReport(report: CoordinatorReport): ClockReading | undefined {
		this.#echo = {stampMs: report.stampMs, receivedAt: this.dependencies.clock.now()};
		return this.#sent.find(heartbeat => heartbeat.sequence === report.sequence)?.at;
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
			const seen = this.dependencies.dispatcher.getTracker(primaryId)?.createEvidence(this.dependencies.identity.vm, now);
			if (seen !== undefined) {
				evidence[group] = {
					instanceId: seen.instanceId,
					answeredAgoMs: seen.answeredAt === undefined ? undefined : now - seen.answeredAt,
					failingForMs: seen.failingSince === undefined ? undefined : now - seen.failingSince,
					isRefused: seen.isRefused || undefined,
				};
			}
		}

		return evidence;
	}
}
