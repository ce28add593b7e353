/** The door to the histogram library; it is loaded by need. */
export {build, type Histogram} from 'hdr-histogram-js';
