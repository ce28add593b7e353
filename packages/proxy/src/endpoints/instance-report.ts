import {type InstanceReport} from '@chicorysaddle/decisions';
import {type LogPosition as WirePosition, type InstanceStatus} from '@chicorysaddle/protocol';
import {logStart, type LogPosition} from '@chicorysaddle/model';

/** Converts a log position from its wire format; an absent one becomes the start of the log. */
export function parsePosition(position: WirePosition | undefined): LogPosition {
	return position === undefined ? logStart : {term: Number(position.term), offset: Number(position.offset)};
}

/** Converts a log position to its wire format. */
export function formatPosition(position: LogPosition): {term: bigint; offset: bigint} {
	return {term: BigInt(position.term), offset: BigInt(position.offset)};
}

/** Converts the status of an instance from its wire format. */
export function parseInstanceStatus(status: InstanceStatus): InstanceReport {
	return {
		term: Number(status.term),
		promoter: status.promoter,
		primary: status.primary,
		position: parsePosition(status.position),
		stalenessMs: status.stalenessMs,
		primarySilentMs: status.primarySilentMs,
	};
}
