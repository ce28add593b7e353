import {type Server} from 'node:net';

/** Where a server listens. */
export type ListenOptions = {
	readonly host: string;
	readonly port: number;
	/** Maximum number of connections that wait to be accepted. */
	readonly backlog?: number;
};

/**
 * Listens with a server.
 * @param onError - Called with each error of the server after it listens; the server goes on.
 * @throws When the address cannot be bound.
 */
export async function listenOnServer(server: Server, options: ListenOptions, onError: (error: Error) => void): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(options, () => {
			server.removeListener('error', reject);
			server.on('error', onError);
			resolve();
		});
	});
}
