package wire

// KindSlotLoan is a call: an instance without room at a target asks one that has a share of the
// target's slots to lend one, or returns it.
const KindSlotLoan Kind = "slot.loan"

// SlotLoanRequest asks for a slot, or returns it if Return is set.
type SlotLoanRequest struct {
	Service string `msgpack:"s"`
	Target  string `msgpack:"t"`
	// Born is the target's start time, which distinguishes its incarnations.
	Born int64 `msgpack:"b"`
	// Loan is chosen by the borrower and unique in its process.
	Loan   uint64 `msgpack:"l"`
	Return bool   `msgpack:"r,omitempty"`
}

// SlotLoanResponse is the response to a SlotLoanRequest.
type SlotLoanResponse struct {
	Granted bool `msgpack:"g,omitempty"`
}
