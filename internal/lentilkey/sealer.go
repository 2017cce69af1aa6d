package lentilkey

import "lentilstair.example/lentilstair/pkg/lentilid"

// sealKeyBytes is the length of the secrets for sealing places.
const sealKeyBytes = 32

// Sealer returns the sealer of places with the keys of the ring.
func (r Ring) Sealer() (sealer *lentilid.Sealer, err error) {
	keys, err := r.Derive(ConnectionID, sealKeyBytes)
	if err != nil {
		return nil, err
	}
	var docs []lentilid.Key
	for _, k := range keys {
		docs = append(docs, lentilid.Key{ID: k.ID(), Secret: k.Bytes()})
	}
	return lentilid.NewSealer(docs)
}
