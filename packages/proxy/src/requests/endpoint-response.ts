import {type LogPosition} from '@chicorysaddle/model';
import {type ExecuteResponse, type Row} from '@chicorysaddle/protocol';
import {parsePosition} from '../endpoints/index.js';

/** The response of an endpoint to one request. */
export type EndpointResponse = {
	readonly rows: Row[];
	/** Log position that the response reflects. */
	readonly position: LogPosition;
	readonly servedBy: 'primary' | 'replica';
	/** Age of the data, in milliseconds; zero at the primary. */
	readonly stalenessMs: number;
	/** Whether the endpoint returned the recorded result of an earlier run. */
	readonly replayed: boolean;
};

/** Converts a response from the wire format. */
export function parseEndpointResponse(response: ExecuteResponse, isPrimary: boolean): EndpointResponse {
	return {
		rows: response.rows,
		position: parsePosition(response.position),
		servedBy: isPrimary ? 'primary' : 'replica',
		stalenessMs: isPrimary ? 0 : response.stalenessMs,
		replayed: response.replayed,
	};
}
