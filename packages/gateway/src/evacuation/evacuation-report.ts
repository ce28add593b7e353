import {type CoordinatorReport} from '@chicorysaddle/protocol/coordination';
import {type PeerLink} from '../ports/index.js';
import {type EvacuationRegistry} from './evacuation-registry.js';

/** Part of a report that concerns evacuations. */
export type EvacuationReport = Pick<CoordinatorReport, 'evacuationVersion' | 'evacuatedZones'>;

/** What the coordinator knows of a VM that gets a report. */
export type EvacuationReportReceiver = {
	/** Version of the evacuated zones that the VM stated, 0 if it stated none. */
	readonly evacuationVersion: number;
	/** Whether the last heartbeat of the VM was a complete one. */
	readonly isHeartbeatComplete: boolean;
};

/**
 * Creates the part of a report that concerns evacuations. The answer to a complete heartbeat always states the version, which shows that
 * this build reports evacuations; otherwise the part is empty unless the VM stated another version.
 * @param isAnswer - Whether the report answers a heartbeat.
 */
export function createEvacuationReport(evacuations: EvacuationRegistry | undefined, receiver: EvacuationReportReceiver | undefined, isAnswer: boolean): EvacuationReport {
	if (evacuations === undefined || receiver === undefined) {
		return {evacuationVersion: undefined, evacuatedZones: undefined};
	}

	if (receiver.evacuationVersion > 0) {
		evacuations.requireVersion();
	}

	if (receiver.evacuationVersion !== evacuations.version) {
		return {evacuationVersion: evacuations.version, evacuatedZones: evacuations.createZoneAges().map(([zone, ageMs]) => [zone, ageMs])};
	}

	return {evacuationVersion: isAnswer && receiver.isHeartbeatComplete ? evacuations.version : undefined, evacuatedZones: undefined};
}

/** Detects from the reports on a link whether the coordinator is of a former build, which reports no evacuations. */
export class EvacuationReporterDetector {
	#link: PeerLink | undefined;
	#reportsEvacuations = false;
	#hasAnswer = false;

	/** Whether the coordinator has answered a heartbeat and reports no evacuations, so that this VM has to read them from the store. */
	get isFormerBuild(): boolean {
		return this.#hasAnswer && !this.#reportsEvacuations;
	}

	/**
	 * Records a report.
	 * @param link - Link on which it arrived.
	 * @param isAnswer - Whether it answers a heartbeat; the first heartbeat on a link is a complete one.
	 */
	recordReport(link: PeerLink | undefined, report: EvacuationReport, isAnswer: boolean): void {
		if (link !== this.#link) {
			this.#link = link;
			this.#reportsEvacuations = false;
			this.#hasAnswer = false;
		}

		this.#reportsEvacuations ||= report.evacuationVersion !== undefined;
		this.#hasAnswer ||= isAnswer;
	}
}
