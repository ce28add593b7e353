import {createConnection, createServer} from 'node:net';

/** The path of one machine to the platform, which can be cut: what is under way is then held, and nothing new arrives. */
export class Link {
	#server;
	#connections = new Set();
	isCut = false;

	constructor(platformAddress) {
		const [host, port] = platformAddress.split(':');
		this.upstream = {host, port: Number(port)};
		this.#server = createServer({allowHalfOpen: true}, socket => {
			this.#accept(socket);
		});
	}

	async listen(host) {
		await new Promise(resolve => {
			this.#server.listen(0, host, resolve);
		});
		return `${host}:${this.#server.address().port}`;
	}

	cut() {
		this.isCut = true;
	}

	/**
	 * Delivers what was held. As on a real path, bytes are delivered also after their sender has closed the connection,
	 * but not after a reset, and a connection that was begun and closed during the cut has never existed.
	 */
	heal() {
		this.isCut = false;
		for (const connection of this.#connections) {
			if (connection.isBegunInCut && connection.isEnded) {
				this.#remove(connection);
			} else {
				this.#flush(connection);
			}
		}
	}

	close() {
		this.#server.close();
		for (const connection of this.#connections) {
			this.#remove(connection);
		}
	}

	#accept(socket) {
		const connection = {
			socket, target: undefined, toPlatform: [], toMachine: [], isEnded: false, isTargetEnded: false, isBegunInCut: this.isCut,
		};
		this.#connections.add(connection);
		socket.on('data', chunk => {
			connection.toPlatform.push(chunk);
			this.#flush(connection);
		});
		socket.on('end', () => {
			connection.isEnded = true;
			this.#flush(connection);
		});
		socket.on('error', () => {
			// A reset loses what is held.
			this.#remove(connection);
		});
		this.#flush(connection);
	}

	#connect(connection) {
		const target = createConnection({...this.upstream, allowHalfOpen: true});
		connection.target = target;
		target.on('data', chunk => {
			connection.toMachine.push(chunk);
			this.#flush(connection);
		});
		target.on('end', () => {
			connection.isTargetEnded = true;
			this.#flush(connection);
		});
		target.on('error', () => {
			this.#remove(connection);
		});
	}

	#flush(connection) {
		if (this.isCut || !this.#connections.has(connection)) {
			return;
		}

		if (connection.target === undefined) {
			this.#connect(connection);
		}

		const {socket, target, toPlatform, toMachine, isEnded, isTargetEnded} = connection;
		for (const chunk of toPlatform.splice(0)) {
			target.write(chunk);
		}

		for (const chunk of toMachine.splice(0)) {
			socket.write(chunk);
		}

		if (isEnded) {
			target.end();
		}

		if (isTargetEnded) {
			socket.end();
		}
	}

	#remove(connection) {
		this.#connections.delete(connection);
		connection.socket.destroy();
		connection.target?.destroy();
	}
}
