/** Histogram library, in a module of its own so that it can be imported lazily. */
export {build, type Histogram} from 'hdr-histogram-js';
