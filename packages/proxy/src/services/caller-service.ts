import {type ConnectRouter, type HandlerContext} from '@connectrpc/connect';
import {type Either} from 'purify-ts';
import {DatabaseService} from '@chicorysaddle/protocol';
import {type Clock, type Tracing} from '../observability/index.js';
import {type RequestContext, type RunRefusal} from '../requests/index.js';
import {type CallerHandlers} from './caller-handlers.js';
import {describeUnexpected, formatRefusal} from './connect-error.js';

/** Bounds of the deadlines of requests, in milliseconds. */
export type DeadlineOptions = {
	readonly defaultMs: number;
	readonly longestMs: number;
};

/** Parts of the caller service. */
export type CallerServiceParts = {
	readonly handlers: CallerHandlers;
	readonly clock: Clock;
	readonly tracing: Tracing;
	readonly deadlines: DeadlineOptions;
};

/** Returns the routes of the caller service. */
export function createCallerRoutes(parts: CallerServiceParts): (router: ConnectRouter) => void {
	const {handlers} = parts;
	const serve = async <T>(name: string, context: HandlerContext, run: (own: RequestContext) => Promise<Either<RunRefusal, T>>): Promise<T> => {
		const request = createContext(parts, context);
		return parts.tracing.runInSpan(`caller ${name}`, request.trace, async trace => answerOrThrow(run({...request, trace})));
	};

	return router => {
		router.service(DatabaseService, {
			run: async (request, context) => serve('run', context, async own => handlers.run(request, own)),
			begin: async (request, context) => serve('begin', context, async own => handlers.begin(request, own)),
			runInTransaction: async (request, context) => serve('run in transaction', context, async own => handlers.runInTransaction(request, own)),
			commit: async (request, context) => serve('commit', context, async own => handlers.commit(request, own)),
			rollBack: async (request, context) => serve('roll back', context, async own => handlers.rollBack(request, own)),
		});
	};
}

/** Time kept back so that a refusal reaches the caller before its deadline, in milliseconds. */
const answerMarginMs = 25;
const longestMarginShare = 0.2;

function createContext({clock, deadlines, tracing}: CallerServiceParts, context: HandlerContext): RequestContext {
	const header = context.requestHeader;
	const timeoutMs = Math.min(context.timeoutMs() ?? deadlines.defaultMs, deadlines.longestMs);
	return {
		authorization: header.get('authorization') ?? '',
		idempotencyKey: header.get('idempotency-key') ?? '',
		deadline: clock.getNow() + timeoutMs - Math.min(answerMarginMs, timeoutMs * longestMarginShare),
		trace: tracing.readContext(header.get('traceparent') ?? undefined),
	};
}

async function answerOrThrow<T>(outcome: Promise<Either<RunRefusal, T>>): Promise<T> {
	let result: Either<RunRefusal, T>;
	try {
		result = await outcome;
	} catch (error) {
		throw formatRefusal(describeUnexpected(error));
	}

	return result.caseOf({
		Left({refusal, session}) {
			throw formatRefusal(refusal, session);
		},
		Right: answer => answer,
	});
}
