import {type ConnectRouter, type HandlerContext} from '@connectrpc/connect';
import {type Either} from 'purify-ts';
import {DatabaseService} from '@chicorysaddle/protocol';
import {type Clock, type Tracing} from '../observability/index.js';
import {type RequestContext, type RunRefusal} from '../requests/index.js';
import {type CallerHandlers} from './caller-handlers.js';
import {createRefusal, createConnectError} from './connect-error.js';

/** Bounds of the deadlines of requests, in milliseconds. */
export type DeadlineLimits = {
	readonly defaultMs: number;
	readonly maxMs: number;
};

/** Parts of the caller service. */
export type CallerServiceDependencies = {
	readonly handlers: CallerHandlers;
	readonly clock: Clock;
	readonly tracing: Tracing;
	readonly deadlines: DeadlineLimits;
};

/** Returns the routes of the caller service. */
export function createCallerRoutes(parts: CallerServiceDependencies): (router: ConnectRouter) => void {
	const {handlers} = parts;
	const runHandler = async <T>(name: string, context: HandlerContext, run: (own: RequestContext) => Promise<Either<RunRefusal, T>>): Promise<T> => {
		const request = createRequestContext(parts, context);
		return parts.tracing.runInSpan(`caller ${name}`, request.trace, async trace => getResponseOrThrow(run({...request, trace})));
	};

	return router => {
		router.service(DatabaseService, {
			run: async (request, context) => runHandler('run', context, async own => handlers.run(request, own)),
			begin: async (request, context) => runHandler('begin', context, async own => handlers.begin(request, own)),
			runInTransaction: async (request, context) => runHandler('run in transaction', context, async own => handlers.runInTransaction(request, own)),
			commit: async (request, context) => runHandler('commit', context, async own => handlers.commit(request, own)),
			rollBack: async (request, context) => runHandler('roll back', context, async own => handlers.rollBack(request, own)),
		});
	};
}

/** Time kept back so that a refusal reaches the caller before its deadline, in milliseconds. */
const responseMarginMs = 25;
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
		Right: answer => answer,
	});
}
