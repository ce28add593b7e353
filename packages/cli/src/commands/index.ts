export * from './command-context.js';
export * from './sheet-commands.js';
export * from './evacuation-commands.js';
export * from './row-commands.js';
export * from './view-commands.js';
export * from './top-command.js';
export * from './explain-command.js';
