import {type LogPosition} from '@chicorysaddle/model';
import {type ExecuteResponse, type Row} from '@chicorysaddle/protocol';
import {parsePosition} from '../endpoints/index.js';

/** The answer of an endpoint to one request. */
export type EndpointResponse = {
	readonly rows: Row[];
	readonly position: LogPosition;
	readonly servedBy: 'primary' | 'replica';
	readonly stalenessMs: number;
	readonly replayed: boolean;
};

/** Reads an answer off the wire. */
export function parseEndpointResponse(response: ExecuteResponse, isPrimary: boolean): EndpointResponse {
	return {
		rows: response.rows,
		position: parsePosition(response.position),
		servedBy: isPrimary ? 'primary' : 'replica',
		stalenessMs: isPrimary ? 0 : response.stalenessMs,
		replayed: response.replayed,
	};
}
