import {type Either, Left, Right} from 'purify-ts';
import {type FreshnessTracker, getMajority} from '@chicorysaddle/decisions';
import {
	Configuration, type ConfigurationChange, type ParsedRow, type Refusal, refusals, type StoredRow,
} from '@chicorysaddle/model';
import {type ConfigurationLog, snapshotInterval} from '@chicorysaddle/store';
import {type PullConfigurationResponse} from '@chicorysaddle/protocol';
import {type Clock, type Logger} from '../observability/index.js';
import {type Membership, type Peer} from '../membership/index.js';
import {formatChange, parseChange} from './change-codec.js';

/** Maximum number of changes that are kept for peers with an older version. */
const maxRetainedChanges = 256;
/** Timeout of a push to a peer, in milliseconds; a pull may transfer a snapshot and gets four times as long. */
const pushTimeoutMs = 700;

/** Outcome of a requested change. */
export type ApplyResult =
	/** Written, and confirmed by a majority of the voters. */
	| {readonly kind: 'accepted'; readonly version: number}
	/** Written, but not confirmed by a majority of the voters. */
	| {readonly kind: 'committed'; readonly version: number}
	/** Not written, because the configuration has another version than expected; `change` is the one after the expected version, undefined if this VM does not hold it. */
	| {readonly kind: 'conflict'; readonly version: number; readonly change?: ConfigurationChange | undefined};

/** Change requested by an operator, or by a VM that adds or removes a voter. */
export type ChangeRequest = {
	/** Version that the change is based on; it is written only if this is the current one. */
	readonly expectedVersion: number;
	readonly author: string;
	readonly summary: string;
	/** Unique id of the write, by which a retry recognizes that the change was already written. */
	readonly writeId: string;
	readonly rows: readonly StoredRow[];
};

/** Dependencies of a `ConfigurationReplica`. */
export type ConfigurationReplicaDependencies = {
	readonly log: ConfigurationLog;
	readonly freshness: FreshnessTracker;
	readonly membership: Membership;
	readonly clock: Clock;
	readonly logger: Logger;
};

/** Keeps this VM's copy of the configuration at the newest known version, which never decreases. */
export class ConfigurationReplica {
	/** The configuration, updated in place. */
	readonly current = new Configuration();
	readonly #changes = new Map<number, ConfigurationChange>();
	readonly #listeners: Array<(rows: readonly ParsedRow[]) => void> = [];
	#lastCatchUp: Promise<unknown> = Promise.resolve();

	constructor(private readonly dependencies: ConfigurationReplicaDependencies) {}

	/** Version of the configuration, zero if there is none yet. */
	get version(): number {
		return this.current.version;
	}

	/** Adds a listener for the rows of every change and snapshot that is applied. */
	addListener(listener: (rows: readonly ParsedRow[]) => void): void {
		this.#listeners.push(listener);
	}

	/** Reads the newest version from the store and catches up with it; returns that version, or a refusal if the store cannot be read. */
	async pollStore(): Promise<Either<Refusal, number>> {
		const sentAt = this.dependencies.clock.getNow();
		const head = await this.dependencies.log.readHead();
		if (head.isLeft()) {
			return head;
		}

		const {version, snapshotVersion} = head.unsafeCoerce();
		await this.#runExclusively(async () => this.#catchUpFromStore(version, snapshotVersion));
		if (this.version >= version) {
			this.dependencies.freshness.recordStoreSync(sentAt);
		}

		return Right(version);
	}

	/** Catches up with a peer's version; rejects if the peer does not answer. */
	async pullFromPeer(peer: Peer): Promise<void> {
		await this.#runExclusively(async () => {
			const response = await peer.client.pullConfiguration({fromVersion: BigInt(this.version)}, {timeoutMs: pushTimeoutMs * 4});
			if (Number(response.snapshotVersion) > this.version) {
				this.#loadSnapshot(Number(response.snapshotVersion), response.snapshot.map(row => ({key: row.key, value: row.value})));
			}

			this.applyChanges(response.changes.map(change => parseChange(change)));
		});
	}

	/** Returns the changes after a version, or a snapshot if this VM does not hold all of them. */
	createPullResponse(fromVersion: number): Partial<Pick<PullConfigurationResponse, 'changes' | 'snapshot' | 'snapshotVersion'>> {
		const changes: ConfigurationChange[] = [];
		for (let version = fromVersion + 1; version <= this.version; version += 1) {
			const change = this.#changes.get(version);
			if (change === undefined) {
				return {snapshot: this.current.getRows() as never, snapshotVersion: BigInt(this.version)};
			}

			changes.push(change);
		}

		return {changes: changes.map(change => formatChange(change))};
	}

	/** Applies the changes that follow the current version, in order; others are ignored. */
	applyChanges(changes: readonly ConfigurationChange[]): void {
		for (const change of changes.toSorted((a, b) => a.version - b.version)) {
			if (change.version === this.version + 1) {
				this.#applyChange(change);
			}
		}
	}

	/**
	 * Returns the latest changes that this VM holds, newest first.
	 * @param limit - Maximum number of changes.
	 */
	getHistory(limit: number): ConfigurationChange[] {
		return [...this.#changes.values()].toSorted((a, b) => b.version - a.version).slice(0, limit);
	}

	/** Writes a change to the store, then pushes it to every peer; a change that was already written under the same `writeId` is only pushed. */
	async applyChangeRequest(request: ChangeRequest): Promise<Either<Refusal, ApplyResult>> {
		const head = await this.pollStore();
		if (head.isLeft()) {
			return head;
		}

		const nextChange = this.#changes.get(request.expectedVersion + 1);
		if (nextChange?.writeId === request.writeId) {
			return Right(await this.#replicateChange(nextChange));
		}

		if (this.version !== request.expectedVersion) {
			return Right({kind: 'conflict', version: this.version, change: nextChange});
		}

		const checked = this.current.checkRows(request.rows).mapLeft(errors => refusals.invalid(errors.join('\n')));
		const allowed = checked.isRight() ? await this.#checkVoterChange(checked.unsafeCoerce()) : checked;
		return allowed.isLeft() ? (allowed) : this.#writeChange(request);
	}

	/** Pushes changes to every peer; returns whether a majority of the voters confirms that it has the version, true if there are no voters. */
	async confirmVersion(changes: readonly ConfigurationChange[], version: number): Promise<boolean> {
		const voters = this.current.getVoterNames();
		const {membership, freshness} = this.dependencies;
		const acknowledgedBy = new Set(freshness.isSynchronized ? [membership.self.name] : []);
		const hasMajority = () => voters.filter(voter => acknowledgedBy.has(voter)).length >= getMajority(voters.length);
		return new Promise(resolve => {
			const pushes = membership.peers.map(async peer => {
				if (await this.#pushToPeer(peer, changes, version)) {
					acknowledgedBy.add(peer.name);
				}

				if (hasMajority()) {
					resolve(true);
				}
			});
			void Promise.all(pushes).then(() => {
				resolve(voters.length === 0 || hasMajority());
			});
		});
	}

	async #writeChange(request: ChangeRequest): Promise<Either<Refusal, ApplyResult>> {
		const change: ConfigurationChange = {...request, version: request.expectedVersion + 1};
		const isSnapshotDue = change.version % snapshotInterval === 0;
		const snapshot = isSnapshotDue ? {version: this.version, rows: this.current.getRows()} : undefined;
		const written = await this.dependencies.log.writeChange(change, snapshot);
		if (written.isLeft()) {
			return written;
		}

		const result = written.unsafeCoerce();
		if (result.kind === 'conflict') {
			await this.pollStore();
			return Right({kind: 'conflict', version: this.version, change: result.change});
		}

		this.applyChanges([change]);
		return Right(await this.#replicateChange(change));
	}

	async #replicateChange(change: ConfigurationChange): Promise<ApplyResult> {
		const isAccepted = await this.confirmVersion([change], change.version);
		this.dependencies.logger.info('configuration change written', {version: change.version, author: change.author, accepted: isAccepted});
		return {kind: isAccepted ? 'accepted' : 'committed', version: change.version};
	}

	async #pushToPeer(peer: Peer, changes: readonly ConfigurationChange[], version: number): Promise<boolean> {
		try {
			const response = await peer.client.pushConfiguration({changes: changes.map(change => formatChange(change))}, {timeoutMs: pushTimeoutMs});
			peer.configurationVersion = Math.max(peer.configurationVersion, Number(response.version));
			return Number(response.version) >= version && response.synchronized && response.vm === peer.name;
		} catch {
			return false;
		}
	}

	/** Allows one voter change at a time, and only after a majority has confirmed the previous change; the first voters need no confirmation. */
	async #checkVoterChange(rows: readonly ParsedRow[]): Promise<Either<Refusal, readonly ParsedRow[]>> {
		const voterRows = rows.filter(row => row.kind === 'voter');
		const isFirst = this.current.getVoterNames().length === 0;
		if (voterRows.length === 0 || isFirst) {
			return Right(rows);
		}

		if (voterRows.length > 1) {
			return Left(refusals.invalid('voters change one at a time'));
		}

		return await this.confirmVersion([], this.version) ? Right(rows) : Left(refusals.conflict(`version ${this.version} is not known to a majority of the voters yet`));
	}

	async #catchUpFromStore(version: number, snapshotVersion: number): Promise<void> {
		if (snapshotVersion > this.version) {
			const snapshot = await this.dependencies.log.readSnapshot(snapshotVersion);
			snapshot.ifRight(({version: loadedVersion, rows}) => {
				this.#loadSnapshot(loadedVersion, rows);
			});
		}

		while (this.version < version) {
			const change = await this.dependencies.log.readChange(this.version + 1);
			if (change.isLeft()) {
				return;
			}

			this.applyChanges([change.unsafeCoerce()]);
		}
	}

	#loadSnapshot(version: number, rows: readonly StoredRow[]): void {
		this.current.loadSnapshot(version, rows).caseOf({
			Left: errors => {
				this.dependencies.logger.error('configuration snapshot refused', {version, errors: errors.join('; ')});
			},
			Right: parsed => {
				this.#notifyListeners(parsed);
			},
		});
	}

	#applyChange(change: ConfigurationChange): void {
		this.current.applyChange(change).caseOf({
			Left: errors => {
				this.dependencies.logger.error('configuration change refused', {version: change.version, errors: errors.join('; ')});
			},
			Right: rows => {
				this.#changes.set(change.version, change);
				this.#changes.delete(change.version - maxRetainedChanges);
				this.#notifyListeners(rows);
			},
		});
	}

	#notifyListeners(rows: readonly ParsedRow[]): void {
		for (const listener of this.#listeners) {
			listener(rows);
		}
	}

	/** Runs one catch-up at a time, in the order of the calls. */
	async #runExclusively<T>(task: () => Promise<T>): Promise<T> {
		const previous = this.#lastCatchUp;
		const run = (async () => {
			await previous.catch(() => undefined);
			return task();
		})();
		this.#lastCatchUp = run.catch(() => undefined);
		return run;
	}
}
