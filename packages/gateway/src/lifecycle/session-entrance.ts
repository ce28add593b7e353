import {refusals} from '@chicorysaddle/model';
import {type EventLog, type GatewayMetrics} from '../observability/index.js';
import {type CallerConnection} from '../ports/index.js';
import {type CallerSession, type SessionIdentity} from '../sessions/index.js';

/** Opens sessions for callers. */
export type SessionOpener = {
	/** Opens a session for a caller, or rejects it and returns undefined. */
	openSession(identity: SessionIdentity, caller: CallerConnection): CallerSession | undefined;
};

/** Retry delay sent to callers that come before the gateway, in milliseconds: short, because other VMs accept them at once. */
const retryAfterMs = 50;

/** Entrance for callers of a process whose addresses are bound before its gateway exists; refuses them until then. */
export class SessionEntrance implements SessionOpener {
	#gateway: SessionOpener | undefined;

	constructor(private readonly log: EventLog, private readonly metrics: GatewayMetrics) {}

	/** Passes callers on to a gateway from now on. */
	setGateway(gateway: SessionOpener): void {
		this.#gateway = gateway;
	}

	openSession(identity: SessionIdentity, caller: CallerConnection): CallerSession | undefined {
		if (this.#gateway !== undefined) {
			return this.#gateway.openSession(identity, caller);
		}

		const refusal = refusals.overloaded(identity.database, retryAfterMs);
		this.metrics.addCount(`rejected_${refusal.kind}`);
		this.log.logEvent('session.rejected', {
			connection: identity.connectionId, database: identity.database, kind: refusal.kind, configuration: 0,
		});
		caller.rejectSession(refusal);
		return undefined;
	}
}
