#!/usr/bin/env node
import process from 'node:process';

// Roarr reads its switch when it is loaded; the level of the settings decides what is written.
process.env.ROARR_LOG ??= 'true';
await import('../dist/main.js');
