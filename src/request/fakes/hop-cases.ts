/**
 * Cases of a hop between nodes, with and without framed links and a safeguard.
 */
export const hopCases = [false, true].flatMap(framedLinks =>
  [false, true].map(isGuarded => ({framedLinks, isGuarded})),
);
