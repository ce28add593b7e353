import {type RequestListener} from 'node:http';
import {type Metrics} from '../observability/index.js';

/** What the health paths report. */
export type HealthState = {
	/** Whether new requests are welcome. */
	isReady(): boolean;
	readonly metrics: Metrics;
};

type HealthPage = {readonly status: number; readonly type: string; readonly body: string};

/**
 * Returns a listener that answers liveness, readiness and metrics, and leaves other paths to another.
 * @param state - What to report.
 * @param next - Listener for the other paths.
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
