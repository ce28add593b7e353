/* eslint-disable no-await-in-loop -- waits and steps follow one another */
/** A caller over the line protocol: a session that runs one statement after another. */
import {connect} from 'node:net';

export class StandInClient {
	#buffer = '';
	#lines = [];
	#waiting;
	#isClosed = false;
	#nextId = 0;

	constructor(name, address, record) {
		this.name = name;
		this.record = record;
		const [host, port] = address.split(':');
		this.socket = connect({host, port: Number(port)});
		this.socket.setEncoding('latin1');
		this.socket.setNoDelay(true);
		this.socket.on('data', chunk => {
			this.#buffer += chunk;
			for (let end = this.#buffer.indexOf('\r\n'); end !== -1; end = this.#buffer.indexOf('\r\n')) {
				this.#lines.push(this.#buffer.slice(0, end));
				this.#buffer = this.#buffer.slice(end + 2);
			}

			this.#waiting?.();
		});
		this.socket.on('error', () => {
			// The close event follows.
		});
		this.socket.on('close', () => {
			this.#isClosed = true;
			this.#waiting?.();
		});
	}

	get isClosed() {
		return this.#isClosed;
	}

	async #readLine(deadline) {
		while (this.#lines.length === 0) {
			const remainingMs = deadline - performance.now();
			if (this.#isClosed || remainingMs <= 0) {
				return undefined;
			}

			await new Promise(resolve => {
				const timer = setTimeout(resolve, remainingMs);
				this.#waiting = () => {
					clearTimeout(timer);
					resolve();
				};
			});
		}

		return this.#lines.shift();
	}

	/** Begins the session; returns whether it is ready. */
	async start(database, key) {
		this.socket.write(`START ${database} ${key}\r\n`, 'latin1');
		const line = await this.#readLine(performance.now() + 2000);
		if (line?.startsWith('READY') !== true) {
			this.close();
			return false;
		}

		return true;
	}

	/** Runs a statement; the outcome is `complete`, `error` or `lost`. */
	async query(text, timeoutMs = 5000) {
		const id = `${this.name}-${this.#nextId++}`;
		const sentAt = performance.now();
		this.record('client.sent', {id, text});
		if (!this.#isClosed) {
			this.socket.write(`QUERY ${id} ${text}\r\n`, 'latin1');
		}

		const rows = [];
		let outcome;
		let isAnswered = false;
		while (!isAnswered) {
			const line = await this.#readLine(sentAt + timeoutMs);
			if (line === undefined) {
				outcome = {kind: 'lost'};
				this.close();
				break;
			}

			const [word, first = '', ...rest] = line.split(' ');
			switch (word) {
				case 'ROW': {
					rows.push(line.slice(4));
					break;
				}

				case 'COMPLETE': {
					outcome = {kind: 'complete', signature: line.slice(9), rows};
					break;
				}

				case 'ERROR': {
					outcome = {kind: 'error', code: first, text: rest.join(' ')};
					break;
				}

				default: {
					outcome = {...outcome, state: first, position: rest[0]};
					isAnswered = true;
				}
			}
		}

		const answer = {
			id, sentAt, answeredAt: performance.now(), ...outcome,
		};
		this.record('client.answered', {
			id, kind: answer.kind, code: answer.code, rows: answer.rows, state: answer.state, position: answer.position, ms: Math.round(answer.answeredAt - sentAt),
		});
		return answer;
	}

	close() {
		this.socket.destroy();
	}
}
