/** A hop between nodes with and without framed links, and with and without a safeguard. */
export const hopCases = [false, true].flatMap(framedLinks =>
  [false, true].map(isGuarded => ({framedLinks, isGuarded})),
);
