import {
	AdmissionControl, type DemandReport, type LimitsLookup, type ShareGrant,
} from '@chicorysaddle/decisions';
import {type Clock} from '../observability/index.js';

/** Sends a demand report to the allocator; returns its grant, undefined if it grants nothing or does not answer. */
export type ReportSender = (report: DemandReport) => Promise<ShareGrant | undefined>;

/** Admits requests against the shares granted by one allocator, with at most one report in flight. */
export class AllocatorClient {
	readonly admission: AdmissionControl;
	#isReporting = false;

	constructor(private readonly vm: string, private readonly incarnation: string, getLimits: LimitsLookup, private readonly sendReport: ReportSender, private readonly clock: Clock) {
		this.admission = new AdmissionControl(getLimits, Math.random);
	}

	/** Sends the report that is due, unless another one is in flight. */
	async sendReportIfDue(): Promise<void> {
		const sentAt = this.clock.getNow();
		const reportKind = this.#isReporting ? undefined : this.admission.getDueReportKind(sentAt);
		if (reportKind === undefined) {
			return;
		}

		this.#isReporting = true;
		const isPartial = reportKind === 'partial';
		const grant = await this.sendReport(this.admission.createReport(this.vm, this.incarnation, isPartial, sentAt));
		if (grant !== undefined) {
			this.admission.applyGrant(grant, sentAt, isPartial, this.clock.getNow());
		}

		this.#isReporting = false;
	}

	/** Sends the final report, which returns all tokens and shares; no other report follows. */
	async sendFinalReport(): Promise<void> {
		this.#isReporting = true;
		await this.sendReport(this.admission.createFinalReport(this.vm, this.incarnation, this.clock.getNow()));
	}
}
