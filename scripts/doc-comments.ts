import {readFileSync} from 'node:fs';
import ts from 'typescript';

/**
 * Doc comments of properties in the object literals and interfaces of a file.
 */
export interface DocComments {
  /**
   * The comment of `key` in the variable or interface `owner`; empty without
   * one.
   */
  of(owner: string, key: string): string;
}

/** Reads the doc comments of a TypeScript file. */
export function readDocComments(file: string): DocComments {
  const source = ts.createSourceFile(
    file,
    readFileSync(file, 'utf8'),
    ts.ScriptTarget.Latest,
    true,
  );
  const comments = new Map<string, string>();

  function visit(node: ts.Node, owner: string): void {
    if (ts.isVariableDeclaration(node)) owner = node.name.getText();
    if (ts.isInterfaceDeclaration(node)) owner = node.name.getText();
    const isKey =
      ts.isPropertyAssignment(node) ||
      ts.isShorthandPropertyAssignment(node) ||
      ts.isPropertySignature(node);
    if (isKey) {
      const key = `${owner}.${node.name.getText()}`;
      if (!comments.has(key)) comments.set(key, readComment(node));
    }
    ts.forEachChild(node, child => visit(child, owner));
  }

  visit(source, '');
  return {of: (owner, key) => comments.get(`${owner}.${key}`) ?? ''};
}

function readComment(node: ts.Node): string {
  const doc = ts.getJSDocCommentsAndTags(node).find(ts.isJSDoc);
  const text = doc === undefined ? '' : ts.getTextOfJSDocComment(doc.comment);
  return (text ?? '').replaceAll(/\s+/g, ' ').trim();
}
