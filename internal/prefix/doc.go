// Package prefix cuts a prompt into pieces and names each by a hash that
// chains over all pieces before it, so that equal hashes mean equal openings.
// The chain starts from the client account, the model and the weights
// version: entries of another account or of older weights can never match.
package prefix
