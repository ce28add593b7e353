import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import process from 'node:process';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {DatabaseService} from '@chicorysaddle/protocol';

/** Connect server that responds immediately, as a baseline for the proxy. */
const server = createServer(connectNodeAdapter({
	routes(router) {
		router.service(DatabaseService, {
			run: request => ({rows: [{columns: {key: request.parameters.key ?? '', value: ''}}], session: 's'.repeat(80), servedBy: 'replica'}),
		});
	},
}));

server.listen(0, '127.0.0.1', () => {
	process.send?.((server.address() as AddressInfo).port);
});
