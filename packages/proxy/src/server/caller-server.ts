import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type ConnectRouter} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {type Listeners} from './listeners.js';

/** Options of the caller ports. */
export type CallerServerOptions = {
	/** Maximum size of a request body, in bytes. */
	readonly maxBodyBytes: number;
	/** Maximum deadline of a request, in milliseconds. */
	readonly maxDeadlineMs: number;
	/** Returns whether the proxy drains; connections are then closed after the current response. */
	isDraining(): boolean;
};

/** Serves the caller service on the caller ports. */
export function serveCallers(listeners: Listeners, routes: (router: ConnectRouter) => void, options: CallerServerOptions): void {
	const adapter = connectNodeAdapter({
		routes, readMaxBytes: options.maxBodyBytes, writeMaxBytes: options.maxBodyBytes * 64, maxTimeoutMs: options.maxDeadlineMs * 10,
	});
	listeners.setCallerListener((request: IncomingMessage, response: ServerResponse) => {
		if (options.isDraining()) {
			response.setHeader('connection', 'close');
		}

		adapter(request, response);
	}, adapter);
}
