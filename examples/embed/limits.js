/**
 * Embeds the decisions without the daemons: an allocator divides a rate of 10 requests per second between two holders.
 * The program passes in the time, in milliseconds, and delivers the messages, which are plain objects.
 */
import process from 'node:process';
import {AdmissionControl, ShareAllocator} from '@chicorysaddle/decisions';

const limits = {rate: 10, burst: 10, weight: 1};
const getLimits = () => limits;
const allocator = new ShareAllocator(0, getLimits);
const holders = ['first', 'second'].map(name => ({name, admission: new AdmissionControl(getLimits), admitted: 0}));
const seconds = 10;

for (let now = 1000; now < 1000 + (seconds * 1000); now += 20) {
	for (const [index, holder] of holders.entries()) {
		// Each holder gets 12.5 requests per second, so that both together exceed the rate.
		if ((now / 20) % 4 === index) {
			const decision = holder.admission.requestAdmission(now, 'account', now + 1000, now);
			holder.admitted += decision?.kind === 'admitted' ? 1 : 0;
		}

		const due = holder.admission.getDueReportKind(now);
		if (due !== undefined) {
			const report = holder.admission.createReport(holder.name, '1', due === 'partial', now);
			holder.admission.applyGrant(allocator.createGrant(report, Number.POSITIVE_INFINITY, now), now, due === 'partial', now);
		}

		holder.admitted += holder.admission.processWaiters(now).filter(({kind}) => kind === 'admitted').length;
	}
}

const total = holders.reduce((sum, holder) => sum + holder.admitted, 0);
process.stdout.write(`admitted ${total} of at most ${limits.burst + (limits.rate * seconds)}\n`);
