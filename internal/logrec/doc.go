// Package logrec encodes the records that the system keeps in the platform's
// log: a kind, the writer and a msgpack body. The packages that write records
// define the bodies, and apply the records in offset order.
package logrec
