/** Update that takes a node from its revision of a document to the one in effect. */
export type DocumentChange<Doc, Delta> =
  | { kind: 'unchanged', revision: number }
  | { kind: 'deltas', deltas: Delta[] }
  | { kind: 'full', document: Doc }
