import {type InstanceConnection, type InstanceConnector} from '../ports/index.js';
import {type InstanceStatus, type OutgoingStatement, type StatementOutcome} from '../statements/index.js';
import {type BackgroundTasks} from './background-tasks.js';

/** Wraps a connector so that an error leaves no connection open, and no statement with an outcome that looks known. */
export function createContainedConnector(connector: InstanceConnector, tasks: BackgroundTasks): InstanceConnector {
	return {
		async open(instance, account, timeoutMs) {
			try {
				const result = await connector.open(instance, account, timeoutMs);
				return result.kind === 'opened' ? {...result, connection: new ContainedConnection(result.connection, tasks)} : result;
			} catch (error) {
				tasks.recordFailure('instance connection', error);
				// An error of this process does not show that the instance refused the connection.
				return {kind: 'failed', failure: {reason: 'silent', message: 'the attempt caused an error'}};
			}
		},
	};
}

/** Connection that is closed by the first error that it causes. */
class ContainedConnection implements InstanceConnection {
	#isFailed = false;

	constructor(private readonly connection: InstanceConnection, private readonly tasks: BackgroundTasks) {}

	get isOpen(): boolean {
		return !this.#isFailed && this.connection.isOpen;
	}

	async run(statements: readonly OutgoingStatement[], timeoutMs: number): Promise<StatementOutcome[]> {
		try {
			const outcomes = this.#isFailed ? [] : await this.connection.run(statements, timeoutMs);
			if (outcomes.length === statements.length) {
				return outcomes;
			}
		} catch (error) {
			this.tasks.recordFailure('statement', error);
		}

		// Any of the statements may have run.
		this.#isFailed = true;
		this.close();
		return statements.map(() => ({kind: 'broken', reason: 'closed'}));
	}

	parseStatus(outcome: StatementOutcome): InstanceStatus | undefined {
		try {
			return this.connection.parseStatus(outcome);
		} catch (error) {
			this.tasks.recordFailure('instance status', error);
			return undefined;
		}
	}

	onClosed(listener: () => void): void {
		this.connection.onClosed(this.tasks.createCallback('end of an instance connection', listener));
	}

	close(): void {
		const isClosed = this.tasks.tryCall('end of an instance connection', () => {
			this.connection.close();
		});
		this.#isFailed ||= !isClosed;
	}
}
