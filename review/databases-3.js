import {createServer} from 'node:net';

/** Time that a message takes between two instances, in milliseconds. */
const transitMs = 1;

/** Time that a read or a write takes at an instance, in milliseconds. */
const workMs = 4;

/** Time that a new connection takes, in milliseconds. */
const openMs = 12;

/** Time within which an old primary that reaches the new one becomes its replica, in milliseconds. */
const demotionMs = 1000;

async function pause(ms) {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

/** Parses a position; a missing one is before every other. */
function parsePosition(text) {
	const [term = 0, number = 0] = text.split('.').map(Number);
	return {term, number};
}

/** Returns whether a log has a position. */
function hasPosition(log, {term, number}) {
	const entry = log[number - 1];
	return number === 0 || (entry !== undefined && entry.term >= term) || log.some(other => other.term > term);
}

/** One instance of a group, which serves the wire protocol and holds a log. */
export class Instance {
	#server;
	#sockets = new Set();
	#beatTimer;
	/** Number of heartbeats that the store got. */
	sequence = 0;
	log = [];
	isAlive = false;
	/** Whether it receives nothing from the primary. */
	isDeaf = false;
	/** Whether it neither reads nor answers anything. */
	isDark = false;
	/** Whether the store gets none of its heartbeats. */
	isCutFromStore = false;
	state = 'ready';

	constructor(group, {id, host, port, zone, role}) {
		Object.assign(this, {
			group, id, host, port, zone, role, term: 1, bornMs: Date.now(),
		});
	}

	get address() {
		return `${this.host}:${this.port}`;
	}

	get position() {
		const last = this.log.at(-1);
		return last === undefined ? `${this.term}.0` : `${last.term}.${this.log.length}`;
	}

	async start() {
		this.group.rejoin(this);
		this.#server = createServer(socket => {
			this.#serve(socket);
		});
		await new Promise(resolve => {
			this.#server.listen(this.port, this.host, resolve);
		});
		this.isAlive = true;
		this.beat();
		this.#beatTimer = setInterval(() => {
			this.beat();
		}, this.group.platform.heartbeatMs);
	}

	/** Writes the entry to the store, unless the store is not reached. */
	beat() {
		if (this.isCutFromStore || this.isDark) {
			return;
		}

		this.sequence += 1;
		this.group.platform.beat(this.id, {
			Service: this.group.service,
			Address: this.address,
			Zone: this.zone,
			Version: 'v1',
			Slots: this.group.slots,
			State: this.state,
			ColdRemainingMs: 0,
			DbRole: this.role,
			Sequence: this.sequence,
			born: this.bornMs,
		});
	}

	/** Stops writing its entry, and ends all connections. */
	stop() {
		clearInterval(this.#beatTimer);
		this.crash();
	}

	/** Ends without a word; the log is kept. */
	crash() {
		this.isAlive = false;
		clearInterval(this.#beatTimer);
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	/** Ends as planned: the entry is removed. */
	leave() {
		this.crash();
		this.group.platform.leave(this.id);
	}

	/** Receives the log of its primary up to a number, with what it missed before; returns whether it has that now. */
	receive(primary, number) {
		if (!this.isAlive || this.isDeaf || this.isDark || this.role !== 'replica' || this.term !== primary.term) {
			return false;
		}

		for (const entry of primary.log.slice(this.log.length, number)) {
			this.log.push(entry);
		}

		return true;
	}

	#serve(socket) {
		const session = {isOpen: false, writes: undefined, isReadOnly: false};
		let text = '';
		const waiting = [];
		let isRunning = false;
		const runWaiting = async () => {
			isRunning = true;
			while (waiting.length > 0 && !this.isDark) {
				// The statements of a connection run one after another.
				// eslint-disable-next-line no-await-in-loop
				await this.#handleLine(socket, session, waiting.shift());
			}

			isRunning = false;
		};

		this.#sockets.add(socket);
		socket.setNoDelay(true);
		socket.setEncoding('latin1');
		socket.on('data', chunk => {
			text += chunk;
			const lines = text.split('\r\n');
			text = lines.pop();
			waiting.push(...lines);
			if (!isRunning) {
				runWaiting();
			}
		});
		socket.on('error', () => {
			// The close event follows.
		});
		socket.on('close', () => {
			this.#sockets.delete(socket);
		});
	}

	async #handleLine(socket, session, line) {
		const [word, ...fields] = line.split(' ');
		if (word === 'START') {
			const [service, , id = this.id] = fields;
			session.isOpen = service === this.group.service && id === this.id;
			await pause(openMs);
			socket.write(session.isOpen ? `READY I ${this.position}\r\n` : 'ERROR WRONGNODE another instance\r\n', () => {
				if (!session.isOpen) {
					socket.end();
				}
			});
			return;
		}

		if (word !== 'QUERY' || !session.isOpen) {
			socket.end();
			return;
		}

		const [id, ...words] = fields;
		const answer = await this.#run(session, id, words);
		const state = session.writes === undefined ? 'I' : 'T';
		if (!socket.destroyed && !this.isDark && answer !== undefined) {
			socket.write(`${answer}\r\nREADY ${state} ${this.position}\r\n`, 'latin1');
		}
	}

	async #run(session, id, words) {
		const [first] = words;
		if (first === 'SINCE') {
			const isReached = hasPosition(this.log, parsePosition(words[1]));
			return isReached ? this.#run(session, id, words.slice(2)) : 'ERROR LAGGING behind';
		}

		switch (first) {
			case 'STATUS': {
				return `ROW ${this.role} ${this.term} ${this.position} 0 0 0 ${this.#sockets.size}\r\nCOMPLETE -`;
			}

			case 'STEPDOWN': {
				this.#stepDown(Number(words[1]));
				return `ROW ${this.role} ${this.term} ${this.position} 0 0 0 ${this.#sockets.size}\r\nCOMPLETE -`;
			}

			case 'BEGIN': {
				session.isReadOnly = words[1] === 'READ';
				if (this.role !== 'primary' && !session.isReadOnly) {
					return `ERROR READONLY ${this.id}`;
				}

				session.writes = [];
				return 'COMPLETE -';
			}

			case 'ROLLBACK': {
				session.writes = undefined;
				return 'COMPLETE -';
			}

			case 'READ': {
				await pause(workMs);
				this.group.recordRun(id, this, words);
				return [...this.group.createRows(words), `COMPLETE s.${this.id}.${id}`].join('\r\n');
			}

			case 'WRITE': {
				return this.#write(session, id, words);
			}

			case 'COMMIT': {
				const {writes} = session;
				session.writes = undefined;
				return writes.length === 0 ? `COMPLETE s.${this.id}.${id}` : this.#commit(id, writes);
			}

			default: {
				return 'COMPLETE -';
			}
		}
	}

	async #write(session, id, words) {
		await pause(workMs);
		if (this.role !== 'primary' || session.isReadOnly) {
			return `ERROR READONLY ${this.id}`;
		}

		const data = words.slice(2).join(' ');
		if (session.writes !== undefined) {
			session.writes.push(data);
			return `COMPLETE s.${this.id}.${id}`;
		}

		return this.#commit(id, [data]);
	}

	/** Commits at the primary; the answer waits until as many replicas as the group requires have received the commit. */
	async #commit(id, writes) {
		if (this.role !== 'primary') {
			return `ERROR READONLY ${this.id}`;
		}

		const entry = {term: this.term, id, writes};
		this.log.push(entry);
		const number = this.log.length;
		this.group.recordCommit(id, this, writes);
		await this.group.replicate(this, number);
		return this.isAlive ? `COMPLETE s.${this.id}.${id}` : undefined;
	}

	#stepDown(term) {
		if (this.role === 'primary' && this.term < term) {
			this.role = 'replica';
			this.beat();
		}
	}
}

/** A group of instances that replicate the log of their primary. */
export class Group {
	instances = [];
	commits = [];
	promotions = [];
	runs = [];

	/**
	 * @param options.syncReplicas - Replicas that have received a commit before it is acknowledged.
	 * @param options.promoteMs - Time that a promotion takes, in milliseconds.
	 * @param options.onPromoted - Called with each instance that was promoted.
	 * @param options.createRows - Returns the rows of a read.
	 */
	constructor({service, slots, syncReplicas, promoteMs, record, onPromoted = () => undefined, createRows = () => ['ROW row']}) {
		Object.assign(this, {
			service, slots, syncReplicas, promoteMs, record, onPromoted, createRows,
		});
	}

	getInstance(id) {
		return this.instances.find(instance => instance.id === id);
	}

	recordRun(id, instance, words) {
		this.runs.push({
			id, instance: instance.id, text: words.join(' '), at: performance.now(),
		});
	}

	recordCommit(id, instance, writes) {
		this.commits.push({
			id, instance: instance.id, term: instance.term, writes, at: performance.now(),
		});
	}

	/** Sends the log of the primary up to a number to the replicas and waits until enough of them have received it. */
	async replicate(primary, number) {
		let receivedCount = 0;
		await new Promise(resolve => {
			if (this.syncReplicas === 0) {
				resolve();
			}

			for (const replica of this.instances.filter(instance => instance !== primary)) {
				const send = () => {
					if (!primary.isAlive || primary.role !== 'primary') {
						return;
					}

					if (replica.receive(primary, number)) {
						receivedCount += 1;
						if (receivedCount === this.syncReplicas) {
							setTimeout(resolve, transitMs);
						}
					} else {
						// The link is kept, and what was sent arrives once the replica receives again.
						setTimeout(send, 50);
					}
				};

				setTimeout(send, transitMs);
			}
		});
	}

	/** Handles the platform's order to promote an instance; returns the HTTP status. */
	promote({service, id, holder, token}) {
		const instance = this.getInstance(id);
		this.record(`platform: promote ${id} of ${service}, holder ${holder}, token ${token}`);
		if (service !== this.service || instance?.isAlive !== true) {
			return 409;
		}

		if (instance.role !== 'primary') {
			setTimeout(() => {
				this.#complete(instance);
			}, this.promoteMs);
		}

		return 200;
	}

	#complete(instance) {
		if (!instance.isAlive) {
			return;
		}

		const former = this.instances.filter(other => other.role === 'primary' && other !== instance);
		instance.term = Math.max(...this.instances.map(({term}) => term)) + 1;
		instance.role = 'primary';
		this.promotions.push({id: instance.id, term: instance.term, at: performance.now()});
		this.onPromoted(instance);
		instance.beat();
		for (const other of this.instances) {
			if (other !== instance && other.isAlive && !former.includes(other)) {
				this.#follow(other, instance);
			}
		}

		for (const other of former) {
			setTimeout(() => {
				this.#follow(other, instance);
			}, demotionMs);
		}
	}

	/** Makes an instance that comes back a replica if another one was promoted meanwhile. */
	rejoin(instance) {
		const primary = this.instances.find(other => other.isAlive && other.role === 'primary' && other.term > instance.term);
		if (primary !== undefined) {
			this.#follow(instance, primary);
		}
	}

	/** Makes an instance a replica of a primary; what only it has is rolled back. */
	#follow(instance, primary) {
		const length = instance.log.findIndex((entry, index) => entry !== primary.log[index]);
		instance.log = length === -1 ? instance.log : instance.log.slice(0, length);
		instance.term = primary.term;
		instance.role = 'replica';
		if (instance.isAlive) {
			instance.beat();
		}
	}
}
