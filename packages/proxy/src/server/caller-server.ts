import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type ConnectRouter} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {type Listeners} from './listeners.js';

/** Options of the caller port. */
export type CallerServerOptions = {
	readonly maxBodyBytes: number;
	readonly maxDeadlineMs: number;
	/** Whether connections are to be closed after their next answer. */
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
