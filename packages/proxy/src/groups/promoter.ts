import {create} from '@bufbuild/protobuf';
import {PromotionRound, type PromotionCommand} from '@chicorysaddle/decisions';
import {type Table, type TableRow} from '@chicorysaddle/store';
import {type FenceResponse, FenceRequestSchema, PromoteRequestSchema} from '@chicorysaddle/protocol';
import {type Either, Left} from 'purify-ts';
import {z} from 'zod';
import {type Clock, type Logger, type Metrics} from '../observability/index.js';
import {type EndpointFailure, parsePosition} from '../endpoints/index.js';
import {type Group} from './group.js';

/** Timeout of calls to instances, in milliseconds. */
const endpointTimeoutMs = 500;
/** Timeout of calls to the platform's table, in milliseconds. */
const tableTimeoutMs = 300;
/** Time to wait for further responses after a majority has accepted a term, in milliseconds. */
const lateResponseGraceMs = 50;
const termClaimSchema = z.object({term: z.number(), promoter: z.string()});

/** Result of claiming a term in the platform's table: `taken` if the row holds the term of another promoter or a later term or was changed meanwhile, `no-answer` if the table failed or timed out. */
type TermClaimResult = 'claimed' | 'taken' | 'no-answer';

/** Promotes an instance of a group to primary. */
export class Promoter {
	/**
	 * @param id - VM and incarnation of this process, which identify the promoter.
	 * @param table - The platform's table.
	 */
	constructor(private readonly id: string, private readonly table: Table, private readonly clock: Clock, private readonly logger: Logger, private readonly metrics: Metrics) {}

	/** Makes one attempt to promote an instance; an unexpected error is logged, and the next attempt may succeed. */
	async tryPromoteGroup(group: Group): Promise<void> {
		try {
			await this.promoteGroup(group);
		} catch (error) {
			this.logger.error('promotion failed', {group: group.state.name, error: String(error)});
		}
	}

	/**
	 * Makes one attempt to promote an instance.
	 * The table decides which promoter owns the term. If the table does not answer, a majority of the
	 * instances decides, since each instance accepts a term from one promoter only.
	 */
	async promoteGroup(group: Group): Promise<void> {
		const term = 1 + Math.max(group.state.term, ...group.state.instances.map(instance => instance.term));
		const claim = await this.#claimTerm(group.state.name, term);
		this.logger.info('promotion started', {group: group.state.name, term, claim});
		if (claim === 'taken') {
			return;
		}

		const command = await this.#fenceInstances(group, term);
		if (command.kind === 'promote') {
			await this.#promoteInstance(group, command.instance, term);
		} else if (command.kind === 'give-up') {
			group.state.recordTerm(command.seenTerm);
		}
	}

	async #claimTerm(group: string, term: number): Promise<TermClaimResult> {
		const timeout = new Promise<TermClaimResult>(resolve => {
			setTimeout(resolve, tableTimeoutMs, 'no-answer');
		});
		return Promise.race([timeout, this.#claimTermInTable(group, term)]);
	}

	async #claimTermInTable(group: string, term: number): Promise<TermClaimResult> {
		const key = `group/${group}`;
		const rows = await this.table.readRows([key]);
		const row = rows.map(([first]) => first).orDefault(undefined);
		if (row === undefined) {
			return 'no-answer';
		}

		const current = parseTermClaim(row);
		if (current.term >= term) {
			return current.term === term && current.promoter === this.id ? 'claimed' : 'taken';
		}

		const written = await this.table.compareAndSet([{key, expectedVersion: row.version, value: JSON.stringify({term, promoter: this.id})}]);
		return written.map((result): TermClaimResult => (result.applied ? 'claimed' : 'taken')).orDefault('no-answer');
	}

	async #fenceInstances(group: Group, term: number): Promise<PromotionCommand> {
		const names = group.state.instances.map(instance => instance.name);
		const excluded = new Set(group.state.instances.filter(instance => instance.isEvacuated).map(instance => instance.name));
		const round = new PromotionRound(term, names, lateResponseGraceMs, group.state.primaryName, excluded);
		return new Promise(resolve => {
			const resolveUnlessWaiting = (command: PromotionCommand) => {
				if (command.kind !== 'wait') {
					resolve(command);
				}
			};

			const fenceCalls = names.map(async name => {
				const result = await this.#fenceInstance(group, name, term);
				result.ifRight(response => {
					const status = response.status!;
					resolveUnlessWaiting(round.handleFenceResponse({
						instance: name, accepted: response.accepted, term: Number(status.term), position: parsePosition(status.position),
					}, this.clock.getNow()));
					setTimeout(() => {
						resolveUnlessWaiting(round.advance(this.clock.getNow()));
					}, lateResponseGraceMs + 1);
				});
			});
			void Promise.all(fenceCalls).then(() => {
				resolveUnlessWaiting(round.advance(Number.POSITIVE_INFINITY));
				resolve({kind: 'wait'});
			});
		});
	}

	async #fenceInstance(group: Group, name: string, term: number): Promise<Either<EndpointFailure, FenceResponse>> {
		const control = group.getPool(name)?.control;
		return control === undefined
			? Left({stage: 'unsent', message: 'no connection to the instance'})
			: control.fence(create(FenceRequestSchema, {term: BigInt(term), promoter: this.id}), {timeoutMs: endpointTimeoutMs});
	}

	async #promoteInstance(group: Group, name: string, term: number): Promise<void> {
		const {control} = (group.getPool(name)!);
		const result = await control.promote(create(PromoteRequestSchema, {term: BigInt(term), promoter: this.id}), {timeoutMs: endpointTimeoutMs});
		const isAccepted = result.map(response => response.accepted).orDefault(false);
		if (isAccepted) {
			group.recordPrimary(term, name);
			this.metrics.addCount('promotions');
		}

		this.logger.info('promotion ended', {
			group: group.state.name, term, instance: name, accepted: isAccepted,
		});
	}
}

function parseTermClaim(row: TableRow): z.infer<typeof termClaimSchema> {
	return row.version === 0 ? {term: 0, promoter: ''} : termClaimSchema.parse(JSON.parse(row.value));
}
