/** Stand-in for the users' clients: sessions over the line protocol that record what they sent and what they were answered. */
/* eslint-disable no-await-in-loop, unicorn/prefer-switch */
import {randomBytes} from 'node:crypto';
import {createConnection} from 'node:net';

/** A session of one client. */
export class Session {
	#text = '';
	#lines = [];
	#wake;
	isOpen = false;
	/** Values that were acknowledged. */
	values = {};
	/** Prepared statements that were acknowledged: name to `READ|WRITE shape`. */
	prepared = new Map();
	state = 'I';

	/** @param world - Holds `records`, to which each statement is added. */
	constructor(world, {address, database, key, tenant}) {
		this.world = world;
		this.database = database;
		this.tenant = tenant;
		world.sessionCount = (world.sessionCount ?? 0) + 1;
		this.number = world.sessionCount;
		const [host, port] = address.split(':');
		this.key = key;
		this.socket = createConnection({host, port: Number(port)});
		this.socket.setNoDelay(true);
		this.socket.setEncoding('latin1');
		this.socket.on('data', chunk => {
			this.#text += chunk;
			const lines = this.#text.split('\r\n');
			this.#text = lines.pop();
			this.#lines.push(...lines);
			this.#wake?.();
		});
		this.socket.on('error', () => {
			// The close event follows.
		});
		this.socket.on('close', () => {
			this.isClosed = true;
			this.isOpen = false;
			this.#wake?.();
		});
	}

	/** Opens the session; returns whether it was accepted. */
	async open() {
		this.socket.write(`START ${this.database} ${this.key}\r\n`);
		const line = await this.#readLine(2000);
		this.isOpen = line?.startsWith('READY') === true;
		this.refusal = this.isOpen ? undefined : line;
		if (!this.isOpen) {
			this.close();
		}

		return this.isOpen;
	}

	close() {
		this.socket.destroy();
		this.isOpen = false;
	}

	/** Sends a statement and waits for its answer; `code` is `ok`, the code of an error, or `none`. */
	async query(text, timeoutMs = 5000, facts = {}) {
		const id = randomBytes(8).toString('hex');
		const record = {
			id, vmi: this.vmi, session: this.number, database: this.database, tenant: this.tenant, text, values: this.values, sentAt: performance.now(), sentUnixMs: Date.now(), ...facts,
		};
		const [keyword, name] = text.split(' ');
		if (keyword === 'EXECUTE') {
			record.shape = this.prepared.get(name);
		}

		this.world.records.push(record);
		const rows = [];
		let code = 'none';
		this.socket.write(`QUERY ${id} ${text}\r\n`, 'latin1');
		const deadline = performance.now() + timeoutMs;
		for (;;) {
			const line = await this.#readLine(Math.max(1, deadline - performance.now()));
			if (line === undefined) {
				code = 'none';
				this.close();
				break;
			}

			const [messageType, first = ''] = line.split(' ');
			if (messageType === 'ROW') {
				rows.push(line.slice(4));
			} else if (messageType === 'COMPLETE') {
				code = 'ok';
				record.signature = line.slice(9);
			} else if (messageType === 'ERROR') {
				code = first;
				record.message = line.slice(6);
			} else if (messageType === 'READY') {
				this.state = first;
				break;
			}
		}

		Object.assign(record, {code, rows, answeredAt: performance.now()});
		if (code === 'ok') {
			this.#learn(text);
		}

		return record;
	}

	#learn(text) {
		const [keyword, name, ...rest] = text.split(' ');
		if (keyword === 'SET') {
			this.values = {...this.values, [name]: rest.join(' ')};
		} else if (keyword === 'PREPARE') {
			this.prepared.set(name, rest.join(' '));
		} else if (keyword === 'CLOSE') {
			this.prepared.delete(name);
		}
	}

	async #readLine(timeoutMs) {
		if (this.#lines.length === 0 && !this.isClosed) {
			await new Promise(resolve => {
				const timer = setTimeout(resolve, timeoutMs);
				this.#wake = () => {
					clearTimeout(timer);
					resolve();
				};
			});
		}

		return this.#lines.shift();
	}
}
