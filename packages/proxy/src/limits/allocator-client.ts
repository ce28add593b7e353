import {
	AdmissionControl, type DemandReport, type LimitsLookup, type ShareGrant,
} from '@chicorysaddle/decisions';
import {type Clock} from '../observability/index.js';

/** Sends a report to the allocator and returns its grant, undefined when there is none. */
export type ReportSender = (report: DemandReport) => Promise<ShareGrant | undefined>;

/** Admission against the shares of one allocator, with at most one report under way. */
export class AllocatorClient {
	readonly admission: AdmissionControl;
	#isReporting = false;

	constructor(private readonly vm: string, private readonly incarnation: string, getLimits: LimitsLookup, private readonly sendReport: ReportSender, private readonly clock: Clock) {
		this.admission = new AdmissionControl(getLimits);
	}

	/** Sends the report that is due, where none is under way. */
	async sendReportIfDue(): Promise<void> {
		const sentAt = this.clock.getNow();
		const due = this.#isReporting ? undefined : this.admission.getDueReportKind(sentAt);
		if (due === undefined) {
			return;
		}

		this.#isReporting = true;
		const isPartial = due === 'partial';
		const grant = await this.sendReport(this.admission.createReport(this.vm, this.incarnation, isPartial, sentAt));
		if (grant !== undefined) {
			this.admission.applyGrant(grant, sentAt, isPartial, this.clock.getNow());
		}

		this.#isReporting = false;
	}

	/** Gives everything back. */
	async sendFinalReport(): Promise<void> {
		this.#isReporting = true;
		await this.sendReport(this.admission.createFinalReport(this.vm, this.incarnation, this.clock.getNow()));
	}
}
