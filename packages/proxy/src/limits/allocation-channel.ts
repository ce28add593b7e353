import {
	AdmissionControl, type DemandReport, type LimitsLookup, type ShareGrant,
} from '@chicorysaddle/decisions';
import {type Clock} from '../observability/index.js';

/** Sends a report to the allocator and returns its grant, undefined when there is none. */
export type ReportSender = (report: DemandReport) => Promise<ShareGrant | undefined>;

/** Pauses between reports for requests that wait, in milliseconds. */
const urgentPausesMs = [0, 30, 60, 120, 250] as const;

/** Admission against the shares of one allocator, with at most one report under way. */
export class AllocationChannel {
	readonly admission: AdmissionControl;
	#isReporting = false;
	#emptyAnswers = 0;
	#lastReportAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly vm: string, private readonly incarnation: string, getLimits: LimitsLookup, private readonly sendReport: ReportSender, private readonly clock: Clock) {
		this.admission = new AdmissionControl(getLimits);
	}

	/** Reports everything, as is done at regular times. */
	async report(): Promise<void> {
		await this.#exchange(false);
	}

	/** Reports at once where requests wait, ever more slowly while nothing comes of it. */
	async reportWaiting(): Promise<void> {
		const pauseMs = urgentPausesMs[Math.min(this.#emptyAnswers, urgentPausesMs.length - 1)]!;
		if (this.admission.hasWaiters() && this.clock.getNow() - this.#lastReportAt >= pauseMs) {
			await this.#exchange(true);
		}
	}

	/** Gives everything back. */
	async sendFarewell(): Promise<void> {
		this.#isReporting = true;
		await this.sendReport(this.admission.createFarewell(this.vm, this.incarnation, this.clock.getNow()));
	}

	async #exchange(isPartial: boolean): Promise<void> {
		if (this.#isReporting) {
			return;
		}

		this.#isReporting = true;
		const sentAt = this.clock.getNow();
		this.#lastReportAt = sentAt;
		try {
			const grant = await this.sendReport(this.admission.createReport(this.vm, this.incarnation, isPartial, sentAt));
			if (grant !== undefined) {
				this.admission.applyGrant(grant, sentAt, isPartial, this.clock.getNow());
			}

			this.#emptyAnswers = grant?.accounts.some(share => share.tokens >= 1) ? 0 : this.#emptyAnswers + 1;
		} finally {
			this.#isReporting = false;
		}
	}
}
