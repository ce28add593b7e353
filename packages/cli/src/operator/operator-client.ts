import {type Client, createClient} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {OperatorService} from '@chicorysaddle/protocol';

/** Options of an operator client. */
export type OperatorClientOptions = {
	/** Address of an operator port as host:port. */
	readonly proxy: string;
	readonly token: string;
};

/** Client of the operator service. */
export type OperatorClient = Client<typeof OperatorService>;

/** Creates a client of a proxy's operator port. */
export function createOperatorClient({proxy, token}: OperatorClientOptions): OperatorClient {
	return createClient(OperatorService, createConnectTransport({
		baseUrl: `http://${proxy}`,
		httpVersion: '1.1',
		interceptors: [next => async request => {
			request.header.set('authorization', `Bearer ${token}`);
			return next(request);
		}],
	}));
}
