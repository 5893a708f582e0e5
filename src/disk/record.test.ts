import test from 'ava';
import {encodeRecord, readRecord, searchRecords} from './record.js';

test('a flipped bit anywhere in a record is detected', t => {
  const record = encodeRecord(Buffer.from('payload'));
  t.is(`${readRecord(record, 0)?.payload}`, 'payload');
  for (let bit = 0; bit < record.length * 8; bit++) {
    const damaged = Buffer.from(record);
    damaged[bit >> 3]! ^= 1 << (bit & 7);
    t.is(readRecord(damaged, 0), undefined);
  }
});

test('a truncated record is detected at any length', t => {
  const record = encodeRecord(Buffer.from('payload'));
  for (let length = 0; length < record.length; length++) {
    t.is(readRecord(record.subarray(0, length), 0), undefined);
  }
});

test('intact records are found after damaged bytes', t => {
  const content = Buffer.concat([
    Buffer.from('damaged bytes'),
    encodeRecord(Buffer.from('one')),
    Buffer.from([0xf0]),
    encodeRecord(Buffer.from('two')),
  ]);
  const found = [...searchRecords(content, 0)].map(({payload}) => `${payload}`);
  t.deepEqual(found, ['one', 'two']);
});
