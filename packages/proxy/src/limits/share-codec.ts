import {type MessageInitShape} from '@bufbuild/protobuf';
import {type DemandReport, type ShareGrant} from '@chicorysaddle/decisions';
import {
	type DemandReport as WireReport, type DemandReportSchema, type ShareGrant as WireGrant, type ShareGrantSchema,
} from '@chicorysaddle/protocol';

/** Parses a demand report from its message. */
export function parseReport(report: WireReport): DemandReport {
	return {
		vm: report.vm,
		incarnation: report.incarnation,
		appliedSequence: Number(report.appliedSequence),
		leaving: report.leaving,
		partial: report.partial,
		accounts: report.accounts.map(account => ({
			account: account.account,
			perSecond: account.perSecond,
			waiting: account.waiting,
			heldTokens: account.heldTokens,
			returnedTokens: account.returnedTokens,
		})),
	};
}

/** Formats a demand report as its message. */
export function formatReport(report: DemandReport): MessageInitShape<typeof DemandReportSchema> {
	return {...report, appliedSequence: BigInt(report.appliedSequence), accounts: [...report.accounts]};
}

/** Parses a grant from its message, undefined if nothing is granted. */
export function parseGrant(grant: WireGrant): ShareGrant | undefined {
	return grant.granted
		? {
			sequence: Number(grant.sequence),
			validMs: grant.validMs,
			accounts: grant.accounts.map(share => ({
				account: share.account, rateFraction: share.rateFraction, burstFraction: share.burstFraction, tokens: share.tokens, nextTokenMs: share.nextTokenMs,
			})),
		}
		: undefined;
}

/** Formats a grant as its message; undefined becomes a message that grants nothing. */
export function formatGrant(grant: ShareGrant | undefined): MessageInitShape<typeof ShareGrantSchema> {
	return grant === undefined
		? {granted: false}
		: {
			granted: true, sequence: BigInt(grant.sequence), validMs: Math.floor(grant.validMs), accounts: [...grant.accounts],
		};
}
