// Package prefix divides a prompt into pieces and identifies each piece by a hash that
// includes all pieces before it, so that equal hashes mean equal prefixes. The chain of
// hashes starts from the client account, the model and the weights version. Cache
// entries of another account or of older weights therefore never match.
package prefix
