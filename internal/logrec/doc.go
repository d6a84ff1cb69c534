// Package logrec frames the records that the system keeps in the platform's
// log: a kind, the writer and a msgpack body. Each mechanism defines its own
// bodies and folds them in offset order.
package logrec
