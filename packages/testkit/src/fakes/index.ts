export * from '../fakes/fake-instance.js';
export * from '../fakes/fake-group.js';
export * from '../fakes/fake-endpoint-server.js';
export * from '../fakes/fake-platform.js';
export * from '../fakes/seeded-random.js';
export * from '../fakes/fake-deployment.js';
