// Package fairqueue orders the waiting requests of one pool. It combines weighted fair
// queueing by tokens between client accounts, strict priorities within an account, and
// early refusal of requests that cannot meet their deadline.
//
// Accounts are scheduled by start-time fair queueing: each account has a virtual time
// that advances by cost/weight with each request served, and the account with the lowest
// virtual time is served next. An account gains no share by splitting its work into many
// small requests or by sending a few very large ones.
package fairqueue
