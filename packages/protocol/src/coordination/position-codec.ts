import {countCodec, finiteNumberCodec} from '@chicorysaddle/model';
import {Codec} from 'purify-ts';

/** Codec of a log position. */
export const positionCodec = Codec.interface({term: countCodec, offset: finiteNumberCodec});
