import {Buffer} from 'node:buffer';
import {type ChildProcess, fork} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, writeFile} from 'node:fs/promises';
import {connect, type Socket} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import autocannon from 'autocannon';
import {toBinary, create} from '@bufbuild/protobuf';
import {ExecuteRequestSchema} from '@chicorysaddle/protocol';
import {readCpuMs, VmProcess} from '../cluster/index.js';

const measuredSeconds = 6;
const idleConnectionCount = 5000;
const runPath = '/chicorysaddle.caller.v1.DatabaseService/Run';
const runBody = JSON.stringify({route: 'bench.get', parameters: {key: 'k'}});
const runHeaders = {'content-type': 'application/json', authorization: 'Bearer csk_bench'};

/** Requests per second, requests per second of CPU time, and latencies in milliseconds. */
type LoadStatistics = {readonly perSecond: number; readonly perCoreSecond: number; readonly p50Ms: number; readonly p99Ms: number};

async function startChild(file: string): Promise<{child: ChildProcess; message: unknown}> {
	const child = fork(fileURLToPath(new URL(file, import.meta.url)));
	const [message] = await once(child, 'message') as [unknown];
	return {child, message};
}

async function measureLoad(pid: number, options: autocannon.Options): Promise<LoadStatistics> {
	await autocannon({...options, duration: 3});
	const before = await readCpuMs(pid);
	const result = await autocannon({...options, duration: measuredSeconds});
	const cpuSeconds = (await readCpuMs(pid) - before) / 1000;
	if (result.non2xx > 0 || result.errors > 0) {
		throw new Error(`load run failed: ${result.non2xx} responses without a 2xx status, ${result.errors} connection errors`);
	}

	return {
		perSecond: result.requests.average, perCoreSecond: result.requests.total / cpuSeconds, p50Ms: result.latency.p50, p99Ms: result.latency.p99,
	};
}

/** Measures the memory of one idle caller connection, in kilobytes. */
async function measureIdleConnections(vm: VmProcess): Promise<number> {
	const before = await vm.readMemoryMb();
	const sockets: Socket[] = [];
	for (let opened = 0; opened < idleConnectionCount; opened += 1) {
		const socket = connect(vm.ports.caller, vm.address);
		await once(socket, 'connect');
		sockets.push(socket);
	}

	const after = await vm.readMemoryMb();
	for (const socket of sockets) {
		socket.destroy();
	}

	return ((after - before) * 1024) / idleConnectionCount;
}

const bareServer = await startChild('bare-server.js');
const fakeServers = await startChild('fake-servers.js');
const {platform, endpoint} = fakeServers.message as {platform: number; endpoint: string};
const settingsFolder = await mkdtemp(path.join(tmpdir(), 'chicorysaddle-bench-'));
const settingsFile = path.join(settingsFolder, 'vm.toml');
await writeFile(settingsFile, `[vm]\nname = "vm-1"\nzone = "z"\n[ports]\ncaller = 0\npeer = 0\noperator = 0\n[platform]\naddress = "127.0.0.1:${platform}"\n[peers]\nsecret = "a-secret-of-the-bench"\n`);
const vm = new VmProcess('vm-1', 'z', '127.0.0.1');
await vm.start(settingsFile);
for (let isReady = false; !isReady;) {
	const response = await fetch(`http://127.0.0.1:${vm.ports.operator}/readyz`);
	isReady = response.ok;
}

const proxyRequest = {
	method: 'POST' as const, body: runBody, headers: runHeaders, connections: 32,
};
const endpointRequest = {
	url: `http://${endpoint}/chicorysaddle.endpoint.v1.EndpointService/Execute`,
	method: 'POST' as const,
	headers: {'content-type': 'application/proto'},
	body: Buffer.from(toBinary(ExecuteRequestSchema, create(ExecuteRequestSchema, {requestId: 'r', statement: 'get', parameters: {key: 'k'}}))),
	connections: 1,
};
const idleConnectionKb = await measureIdleConnections(vm);
const statistics = {
	bare: await measureLoad(bareServer.child.pid!, {...proxyRequest, url: `http://127.0.0.1:${bareServer.message as number}${runPath}`}),
	proxy: await measureLoad(vm.pid, {...proxyRequest, url: `http://127.0.0.1:${vm.ports.caller}${runPath}`}),
	proxyOneByOne: await measureLoad(vm.pid, {...proxyRequest, connections: 1, url: `http://127.0.0.1:${vm.ports.caller}${runPath}`}),
	direct: await measureLoad(fakeServers.child.pid!, endpointRequest),
	idleConnectionKb,
};
process.stdout.write(`${JSON.stringify(statistics, undefined, '\t')}\n`);
process.stdout.write(`throughput ${(statistics.proxy.perSecond / statistics.bare.perSecond).toFixed(2)} times that of a bare Connect server; added latency p50 ${(statistics.proxyOneByOne.p50Ms - statistics.direct.p50Ms).toFixed(2)} ms, p99 ${(statistics.proxyOneByOne.p99Ms - statistics.direct.p99Ms).toFixed(2)} ms; memory per idle connection ${statistics.idleConnectionKb.toFixed(1)} KB\n`);
vm.kill();
bareServer.child.kill();
fakeServers.child.kill();
process.exit(0);
