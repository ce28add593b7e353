import {createConnection, Socket} from 'node:net';
import {parseSocketAddress} from './socket-address.js';

/** Connects to an address; never throws: a connection to an address that is malformed or impossible closes with an error, as a refused one does. */
export function connectSocket(address: string): Socket {
	try {
		return createConnection(parseSocketAddress(address));
	} catch (error) {
		return new Socket().destroy(error instanceof Error ? error : new Error(String(error)));
	}
}
