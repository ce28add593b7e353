import {type ConnectRouter, type HandlerContext} from '@connectrpc/connect';
import {type Either} from 'purify-ts';
import {DatabaseService} from '@chicorysaddle/protocol';
import {type Clock, type Tracing} from '../observability/index.js';
import {type RequestContext, type RunRefusal} from '../requests/index.js';
import {type CallerHandlers} from './caller-handlers.js';
import {createRefusal, createConnectError} from './connect-error.js';

/** Default and maximum time for a request, in milliseconds. */
export type DeadlineLimits = {
	readonly defaultMs: number;
	readonly maxMs: number;
};

/** Dependencies of the caller service. */
export type CallerServiceDependencies = {
	readonly handlers: CallerHandlers;
	readonly clock: Clock;
	readonly tracing: Tracing;
	readonly deadlines: DeadlineLimits;
};

/** Creates the routes of the caller service. */
export function createCallerRoutes(dependencies: CallerServiceDependencies): (router: ConnectRouter) => void {
	const {handlers} = dependencies;
	const runHandler = async <T>(name: string, context: HandlerContext, run: (requestContext: RequestContext) => Promise<Either<RunRefusal, T>>): Promise<T> => {
		const request = createRequestContext(dependencies, context);
		return dependencies.tracing.runInSpan(`caller ${name}`, request.trace, async trace => getResponseOrThrow(run({...request, trace})));
	};

	return router => {
		router.service(DatabaseService, {
			run: async (request, context) => runHandler('run', context, async requestContext => handlers.run(request, requestContext)),
			begin: async (request, context) => runHandler('begin', context, async requestContext => handlers.begin(request, requestContext)),
			runInTransaction: async (request, context) => runHandler('run in transaction', context, async requestContext => handlers.runInTransaction(request, requestContext)),
			commit: async (request, context) => runHandler('commit', context, async requestContext => handlers.commit(request, requestContext)),
			rollBack: async (request, context) => runHandler('roll back', context, async requestContext => handlers.rollBack(request, requestContext)),
		});
	};
}

/** Time reserved at the end of a deadline so that a refusal reaches the caller in time, in milliseconds. */
const responseMarginMs = 25;
/** Maximum of the response margin, as a fraction of the deadline. */
const maxResponseMarginFraction = 0.2;

function createRequestContext({clock, deadlines, tracing}: CallerServiceDependencies, context: HandlerContext): RequestContext {
	const header = context.requestHeader;
	const timeoutMs = Math.min(context.timeoutMs() ?? deadlines.defaultMs, deadlines.maxMs);
	return {
		authorization: header.get('authorization') ?? '',
		idempotencyKey: header.get('idempotency-key') ?? '',
		deadline: clock.getNow() + timeoutMs - Math.min(responseMarginMs, timeoutMs * maxResponseMarginFraction),
		trace: tracing.parseTraceparent(header.get('traceparent') ?? undefined),
	};
}

async function getResponseOrThrow<T>(outcome: Promise<Either<RunRefusal, T>>): Promise<T> {
	let result: Either<RunRefusal, T>;
	try {
		result = await outcome;
	} catch (error) {
		throw createConnectError(createRefusal(error));
	}

	return result.caseOf({
		Left({refusal, session}) {
			throw createConnectError(refusal, session);
		},
		Right: response => response,
	});
}
