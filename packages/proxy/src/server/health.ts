import {type RequestListener} from 'node:http';
import {type Metrics} from '../observability/index.js';

/** State that the health and metrics paths report. */
export type HealthState = {
	/** Returns whether the proxy accepts new requests. */
	isReady(): boolean;
	readonly metrics: Metrics;
};

type HealthPage = {readonly status: number; readonly type: string; readonly body: string};

/**
 * Creates a listener for the liveness, readiness and metrics paths.
 * @param state - State to report.
 * @param next - Listener for all other paths.
 */
export function createHealthListener(state: HealthState, next: RequestListener): RequestListener {
	const pages: Readonly<Record<string, () => HealthPage>> = {
		'/livez': () => ({status: 200, type: 'text/plain', body: 'live\n'}),
		'/readyz': () => (state.isReady() ? {status: 200, type: 'text/plain', body: 'ready\n'} : {status: 503, type: 'text/plain', body: 'not ready\n'}),
		'/metrics': () => ({status: 200, type: 'text/plain; version=0.0.4', body: state.metrics.formatPrometheusText()}),
	};
	return (request, response) => {
		const page = pages[request.url ?? ''];
		if (page === undefined) {
			next(request, response);
			return;
		}

		const {status, type, body} = page();
		response.writeHead(status, {'content-type': type}).end(body);
	};
}
