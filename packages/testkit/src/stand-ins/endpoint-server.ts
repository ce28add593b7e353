import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {
	create, fromBinary, type MessageInitShape, toBinary,
} from '@bufbuild/protobuf';
import {
	type ExecuteRequest, ExecuteRequestSchema, ExecuteResponseSchema, FenceRequestSchema, FenceResponseSchema,
	type InstanceStatus, InstanceStatusSchema, Outcome, ProbeRequestSchema, PromoteRequestSchema, Step,
} from '@chicorysaddle/protocol';
import {isAtLeast, type LogPosition} from '@chicorysaddle/model';
import {type DatabaseInstance, type WriteOperation} from './database-instance.js';

/** What an endpoint notes of the requests it ran, for the history. */
export type EndpointEvent = {
	readonly at: number;
	readonly instance: string;
	readonly term: number;
	readonly statement: string;
	readonly parameters: Readonly<Record<string, string>>;
	readonly step: Step;
	/** Everything that came with the request, as text. */
	readonly wire: string;
	/** Tags of the writes that took effect. */
	readonly writtenTags: readonly string[];
	/** Tags of the writes that a commit applied together. */
	readonly committedTags: readonly string[];
};

/** Timing of an endpoint, in milliseconds. */
export type EndpointTiming = {
	/** Least time of a statement; its mean is twice that. */
	readonly serviceMs: number;
	readonly openMs: number;
	readonly roundTripMs: number;
};

type Execution = Exclude<MessageInitShape<typeof ExecuteResponseSchema>, {$typeName: string}>;
type OpenTransaction = {readonly term: number; readonly operations: WriteOperation[]};
type SocketState = {isOpened: boolean; transaction: OpenTransaction | undefined};

const longestSlotWaitMs = 1500;
const stepMs = 2;

async function wait(durationMs: number): Promise<void> {
	if (durationMs <= 0) {
		return;
	}

	return new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}

/** Serves one instance with the protocol that chicorysaddle asks of endpoints. */
export class EndpointServer {
	/** Called with every request that ran. */
	onEvent: (event: EndpointEvent) => void = () => undefined;
	/** Whether the next answer is lost after the request ran. */
	loseNextAnswer = false;
	/** Source addresses that cannot reach it. */
	readonly blockedSources = new Set<string>();
	#server: Server | undefined;
	#port = 0;
	#closedBytes = 0;
	readonly #sockets = new Map<Socket, SocketState>();
	readonly #slotQueue: Array<() => void> = [];

	constructor(readonly instance: DatabaseInstance, private readonly timing: EndpointTiming, private readonly getRandom: () => number) {}

	get address(): string {
		return `127.0.0.1:${this.#port}`;
	}

	get openConnections(): number {
		return this.#sockets.size;
	}

	/** Returns the bytes received and sent. */
	countBytes(): number {
		let bytes = this.#closedBytes;
		for (const socket of this.#sockets.keys()) {
			bytes += socket.bytesRead + socket.bytesWritten;
		}

		return bytes;
	}

	async start(): Promise<void> {
		const server = createServer({keepAliveTimeout: 0, requestTimeout: 0}, (request, response) => {
			void this.#serve(request, response);
		});
		server.on('connection', socket => {
			this.#accept(socket);
		});
		await new Promise<void>(resolve => {
			server.listen(this.#port, '127.0.0.1', resolve);
		});
		this.#port = (server.address() as AddressInfo).port;
		this.#server = server;
		this.instance.health = 'up';
	}

	/** Dies: every connection breaks and none is taken. */
	stop(): void {
		this.instance.health = 'dead';
		this.#server?.close();
		this.#server = undefined;
		for (const socket of this.#sockets.keys()) {
			socket.destroy();
		}
	}

	#accept(socket: Socket): void {
		if (this.#sockets.size >= this.instance.connections || this.blockedSources.has(socket.remoteAddress ?? '')) {
			socket.destroy();
			return;
		}

		this.#sockets.set(socket, {isOpened: false, transaction: undefined});
		socket.on('close', () => {
			this.#closedBytes += socket.bytesRead + socket.bytesWritten;
			this.#sockets.delete(socket);
		});
	}

	async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const chunks: Uint8Array[] = [];
		for await (const chunk of request) {
			chunks.push(chunk as Uint8Array);
		}

		const state = this.#sockets.get(request.socket);
		if (state === undefined || this.blockedSources.has(request.socket.remoteAddress ?? '')) {
			request.socket.destroy();
			return;
		}

		await wait(this.timing.roundTripMs + (state.isOpened ? 0 : this.timing.openMs));
		state.isOpened = true;
		const bytes = Buffer.concat(chunks);
		const method = (request.url ?? '').split('/').at(-1) ?? '';
		const answer = this.instance.health === 'up' ? await this.#methods[method]?.(bytes, state, JSON.stringify(request.headers)) : undefined;
		if (answer === undefined || this.instance.health !== 'up') {
			return;
		}

		if (this.loseNextAnswer && method === 'Execute') {
			this.loseNextAnswer = false;
			request.socket.destroy();
			return;
		}

		response.writeHead(200, {'content-type': 'application/proto', 'content-length': answer.length}).end(answer);
	}

	readonly #methods: Readonly<Record<string, (body: Uint8Array, state: SocketState, headers: string) => Promise<Uint8Array>>> = {
		Execute: async (body, state, headers) => {
			const request = fromBinary(ExecuteRequestSchema, body);
			const answer = await this.#execute(request, state, headers);
			return toBinary(ExecuteResponseSchema, create(ExecuteResponseSchema, {
				...answer, requestId: request.requestId, running: this.instance.running, position: formatWirePosition(this.instance.position), stalenessMs: this.#getStalenessMs(),
			}));
		},
		Probe: async body => {
			const request = fromBinary(ProbeRequestSchema, body);
			await this.#waitForPosition(request.atLeast, request.maxWaitMs);
			return toBinary(InstanceStatusSchema, this.#describe());
		},
		Fence: async body => {
			const request = fromBinary(FenceRequestSchema, body);
			const accepted = this.instance.fence(Number(request.term), request.promoter);
			return toBinary(FenceResponseSchema, create(FenceResponseSchema, {accepted, status: this.#describe()}));
		},
		Promote: async body => {
			const request = fromBinary(PromoteRequestSchema, body);
			const accepted = this.instance.fence(Number(request.term), request.promoter);
			if (accepted && !this.instance.isPrimary) {
				this.instance.isPrimary = true;
				this.instance.isSynced = true;
				this.instance.write([], '', '', performance.now());
			}

			return toBinary(FenceResponseSchema, create(FenceResponseSchema, {accepted, status: this.#describe()}));
		},
	};

	async #execute(request: ExecuteRequest, state: SocketState, headers: string): Promise<Execution> {
		if (!await this.#waitForPosition(request.atLeast, request.maxWaitMs) || (request.maxStalenessMs > 0 && this.#getStalenessMs() > request.maxStalenessMs)) {
			return {outcome: Outcome.BEHIND};
		}

		if (!await this.#takeSlot()) {
			return {outcome: Outcome.BUSY};
		}

		try {
			await wait(this.timing.serviceMs * (1 - Math.log(1 - this.getRandom())));
			return this.#run(request, state, headers);
		} finally {
			this.#releaseSlot();
		}
	}

	#run(request: ExecuteRequest, state: SocketState, headers: string): Execution {
		const {instance} = this;
		const isInTransaction = request.step !== Step.SINGLE;
		if (Number(request.term) > instance.term) {
			return {outcome: Outcome.WRONG_TERM};
		}

		if (!instance.isPrimary && !instance.isSynced) {
			return {outcome: Outcome.BEHIND};
		}

		if ((request.write || isInTransaction) && (!instance.isPrimary || Number(request.term) !== instance.term)) {
			return {outcome: Outcome.WRONG_TERM};
		}

		if (isInTransaction && request.step !== Step.BEGIN && state.transaction?.term !== instance.term) {
			return {outcome: Outcome.NO_TRANSACTION};
		}

		const record = instance.getRecord(request.recordId);
		if (record !== undefined) {
			return record.bodyHash === request.bodyHash ? {outcome: Outcome.DONE, replayed: true} : {outcome: Outcome.RECORD_MISMATCH};
		}

		const committedTags = request.step === Step.COMMIT ? state.transaction!.operations.map(operation => operation.tag) : [];
		const result = this.#apply(request, state);
		this.onEvent({
			at: performance.now(), instance: instance.name, term: instance.term, statement: request.statement, parameters: request.parameters, step: request.step,
			writtenTags: request.step === Step.SINGLE && request.write ? [request.parameters.tag ?? ''] : committedTags,
			wire: `${headers} ${JSON.stringify(request.parameters)}`, committedTags,
		});
		return result;
	}

	#apply(request: ExecuteRequest, state: SocketState): Execution {
		const {instance} = this;
		const {key = '', value = '', tag = ''} = request.parameters;
		const now = performance.now();
		if (request.step === Step.BEGIN) {
			state.transaction = {term: instance.term, operations: []};
		} else if (request.step === Step.COMMIT || request.step === Step.ROLL_BACK) {
			const operations = request.step === Step.COMMIT ? state.transaction!.operations : [];
			state.transaction = undefined;
			instance.write(operations, request.recordId, request.bodyHash, now);
		} else if (request.statement === 'put' || request.statement === 'append') {
			const operation: WriteOperation = {
				statement: request.statement, key, value, tag,
			};
			if (request.step === Step.STATEMENT) {
				state.transaction!.operations.push(operation);
			} else {
				instance.write([operation], request.recordId, request.bodyHash, now);
			}
		} else if (request.statement !== 'get') {
			return {outcome: Outcome.BAD_STATEMENT};
		}

		const own = state.transaction?.operations.findLast(operation => operation.key === key)?.value;
		return {outcome: Outcome.DONE, rows: request.statement === 'get' ? [{columns: {key, value: own ?? instance.readValue(key)}}] : []};
	}

	async #waitForPosition(position: ExecuteRequest['atLeast'], maxWaitMs: number): Promise<boolean> {
		const wanted = {term: Number(position?.term ?? 0), offset: Number(position?.offset ?? 0)};
		const until = performance.now() + maxWaitMs;
		while (!isAtLeast(this.instance.position, wanted)) {
			if (performance.now() >= until) {
				return false;
			}

			await wait(stepMs);
		}

		return true;
	}

	async #takeSlot(): Promise<boolean> {
		if (this.instance.running < this.instance.slots) {
			this.instance.running += 1;
			return true;
		}

		return new Promise(resolve => {
			const timer = setTimeout(() => {
				this.#slotQueue.splice(this.#slotQueue.indexOf(take), 1);
				resolve(false);
			}, longestSlotWaitMs);
			const take = () => {
				clearTimeout(timer);
				resolve(true);
			};

			this.#slotQueue.push(take);
		});
	}

	#releaseSlot(): void {
		const next = this.#slotQueue.shift();
		if (next === undefined) {
			this.instance.running -= 1;
		} else {
			next();
		}
	}

	#getStalenessMs(): number {
		return this.instance.isPrimary ? 0 : Math.ceil(Math.max(0, performance.now() - this.instance.syncedAt));
	}

	#describe(): InstanceStatus {
		const {instance} = this;
		return create(InstanceStatusSchema, {
			term: BigInt(instance.term),
			promoter: instance.promoter,
			primary: instance.isPrimary,
			position: formatWirePosition(instance.position),
			stalenessMs: this.#getStalenessMs(),
			running: instance.running,
			slots: instance.slots,
			primarySilentMs: instance.isPrimary ? 0 : Math.ceil(performance.now() - instance.lastContactAt),
		});
	}
}

function formatWirePosition(position: LogPosition): {term: bigint; offset: bigint} {
	return {term: BigInt(position.term), offset: BigInt(position.offset)};
}
