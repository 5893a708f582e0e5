// Takes the place of a library's module that no part of the program uses.
module.exports = function unusedPart() {
  throw new Error('this part of a library is not in the bundle');
};
