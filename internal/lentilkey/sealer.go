package lentilkey

import "lentilstair.example/lentilstair/pkg/lentilid"

// sealKeyBytes is the length of the keys that seal places into connection IDs.
const sealKeyBytes = 32

// Sealer returns a sealer of places that uses keys derived from the ring.
func (r Ring) Sealer() (sealer *lentilid.Sealer, err error) {
	keys, err := r.Derive(ConnectionID, sealKeyBytes)
	if err != nil {
		return nil, err
	}
	var sealKeys []lentilid.Key
	for _, k := range keys {
		sealKeys = append(sealKeys, lentilid.Key{ID: k.ID(), Secret: k.Bytes()})
	}
	return lentilid.NewSealer(sealKeys)
}
