import test from 'ava';
import {createAttemptAnswer} from './attempt-answer.js';
import {requestCodes} from '../messages/codes.js';
import {announcementOf} from '../fakes/fake-endpoints.js';
import {createFakeAnswer} from '../fakes/fake-answer.js';
import {createRefusal} from '../messages/refusal.js';

function stage(isHurried: boolean) {
  const judged: string[] = [];
  const peer = {
    announcement: announcementOf(),
    logFields: () => ({
      outstanding: 0,
      load: 0,
      loadAge: undefined,
      blame: 0,
      state: 'serving',
      stateAge: 0,
    }),
    began: () => {},
    updateLoad: () => {},
    ended: (code: {name: string} | undefined, status: number) =>
      void judged.push(`${code?.name} ${status}`),
  };
  const attempt = createAttemptAnswer(
    createFakeAnswer(),
    peer,
    () => {},
    isHurried,
  );
  return {attempt, judged};
}

for (const isHurried of [false, true]) {
  test(`a deadline that passed, caller in a hurry: ${isHurried}`, t => {
    // One caller asks for a millisecond again and again. Held against the
    // instances, its deadlines would have them ejected for all callers.
    const {attempt, judged} = stage(isHurried);
    attempt.refuse(createRefusal(requestCodes.deadlinePassed));
    t.deepEqual(judged, [isHurried ? 'caller-left 0' : 'deadline-passed 0']);
  });
}

test('an attempt is judged once, also when its caller leaves', t => {
  const {attempt, judged} = stage(false);
  attempt.start({status: 200, reason: 'OK', headers: []});
  attempt.abandon();
  attempt.end();
  attempt.cut();
  t.deepEqual(judged, ['caller-left 200']);
});
