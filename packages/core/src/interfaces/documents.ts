/** What a node at some revision of a document needs to reach the one in effect. */
export type DocumentChange<Doc, Delta> =
  | { kind: 'unchanged', revision: number }
  | { kind: 'deltas', deltas: Delta[] }
  | { kind: 'full', document: Doc }
