export * from './write-confirmer.js';
export * from './zone-evacuations.js';
export * from './group.js';
export * from './group-registry.js';
export * from './dispatcher.js';
export * from './promoter.js';
