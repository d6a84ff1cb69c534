// Package fairqueue orders the waiting requests of one pool: weighted fair
// queueing by tokens over client accounts, strict priorities inside an
// account, and early refusal of what cannot make its deadline.
//
// The order between accounts is start-time fair queueing. Each account has a
// virtual time that advances by cost/weight with each request served; the
// account furthest behind is next. An account gains nothing by cutting its
// work into many small requests or by sending few huge ones.
package fairqueue
