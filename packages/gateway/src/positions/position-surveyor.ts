import {findSurveyedPosition} from '@chicorysaddle/decisions';
import {type GroupSizes, type InstanceRegistry} from '../instances/index.js';
import {type EventLog, type GatewayMetrics} from '../observability/index.js';
import {type Clock} from '../ports/index.js';
import {type TermRegistry} from '../terms/index.js';
import {type InstanceStatusReader} from './instance-status-reader.js';

/** Timeout of a handshake and of a status request, in milliseconds: within the shortest deadline of a read. */
const statusTimeoutMs = 250;

/** Time after a survey without a result before the instances are asked again, in milliseconds. */
const failureBackoffMs = 300;

/** Dependencies of a `PositionSurveyor`. */
export type PositionSurveyorDependencies = {
	readonly statusReader: InstanceStatusReader;
	readonly terms: TermRegistry;
	readonly instances: InstanceRegistry;
	readonly groupSizes: GroupSizes;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: GatewayMetrics;
};

/** Learns log positions of primaries from all instances of a group, for reads that a replica may serve while this VM cannot renew its term lease. */
export class PositionSurveyor {
	readonly #running = new Map<string, Promise<void>>();
	/** Monotonic times before which no survey of a group begins, in milliseconds. */
	readonly #backoffUntil = new Map<string, number>();

	constructor(private readonly dependencies: PositionSurveyorDependencies) {}

	/** Asks the instances of a group for the position of its primary, unless they were asked in vain just before; the term registry has it afterwards if they agree. */
	async probePosition(group: string): Promise<void> {
		const running = this.#running.get(group);
		if (running !== undefined) {
			return running;
		}

		if (this.dependencies.clock.now() < (this.#backoffUntil.get(group) ?? Number.NEGATIVE_INFINITY)) {
			return;
		}

		const survey = this.#survey(group).finally(() => {
			this.#running.delete(group);
		});
		this.#running.set(group, survey);
		return survey;
	}

	async #survey(group: string): Promise<void> {
		const {statusReader, terms, instances, groupSizes, clock, log, metrics} = this.dependencies;
		const term = terms.getTerm(group);
		if (term?.phase !== 'open') {
			return;
		}

		const expectedCount = groupSizes.countInstances(group);
		const startedAt = clock.now();
		const readings = await Promise.all([...instances.getGroupInstances(group)].map(async instance => statusReader.readStatus(instance, statusTimeoutMs)));
		const answers = readings.flatMap(reading => typeof reading === 'string' ? [] : [{id: reading.instance.id, ...reading.status}]);
		const position = findSurveyedPosition({id: term.primaryId, term: term.term}, answers, expectedCount);
		const now = clock.now();
		metrics.addCount(position === undefined ? 'survey_inconclusive' : 'survey_conclusive');
		log.logEvent('positions.surveyed', {
			group, term: term.term, answers: answers.length, instances: expectedCount, position: position === undefined ? undefined : `${position.term}.${position.offset}`, durationMs: Math.round(now - startedAt),
		});
		if (position === undefined) {
			this.#backoffUntil.set(group, now + failureBackoffMs);
		} else {
			terms.recordPosition(group, position, startedAt);
		}
	}
}
