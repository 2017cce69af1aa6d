package lentilconfig

import (
	"encoding/json"
	"fmt"

	"lentilstair.example/lentilstair/pkg/lentilerror"
)

// HeadObjectName is the name of the platform object that holds the head.
const HeadObjectName = "current"

// HeadObjectDoc is the body of the platform object that holds the head.
type HeadObjectDoc struct {
	HeadDoc
	// ShardRemovals counts the removals of unused shards. A removal increments it
	// first, so that a writer that read the head earlier fails with a conflict.
	ShardRemovals uint64 `json:"cleaned,omitempty"`
}

// ShardObjectDoc is the body of a platform object that holds a shard.
type ShardObjectDoc struct {
	Shard ShardDoc `json:"shard"`
	// WriteMarker changes when a writer reuses an existing shard, so that a concurrent
	// removal of the shard fails with a conflict.
	WriteMarker string `json:"touched,omitempty"`
}

// ParseHeadObject parses the body of the platform object that holds the head.
func ParseHeadObject(body []byte) (doc HeadObjectDoc, err error) {
	defer lentilerror.Annotate(&err, "parse head object")
	head, err := ParseHead(body)
	if err != nil {
		return HeadObjectDoc{}, err
	}
	if err = json.Unmarshal(body, &doc); err != nil {
		return HeadObjectDoc{}, err
	}
	doc.HeadDoc = head
	return doc, nil
}

// ObjectBody returns the body of the platform object for the shard. The write marker
// may be any text that differs from those of earlier writers.
func (s Shard) ObjectBody(writeMarker string) (body []byte, err error) {
	defer lentilerror.Annotate(&err, "encode object of shard %s", s.name)
	var doc ShardObjectDoc
	if err = json.Unmarshal(s.body, &doc.Shard); err != nil {
		return nil, err
	}
	doc.WriteMarker = writeMarker
	return json.Marshal(doc)
}

// ParseShardObject parses the body of the platform object for the named shard. The
// platform may reorder the fields of a stored object. The shard is therefore encoded
// again before its digest is compared with the name.
func ParseShardObject(name Digest, body []byte) (shard Shard, err error) {
	defer lentilerror.Annotate(&err, "parse object of shard %s", name)
	var doc ShardObjectDoc
	if err = json.Unmarshal(body, &doc); err != nil {
		return Shard{}, err
	}
	if shard, err = encodeShard(doc.Shard); err != nil {
		return Shard{}, err
	}
	if shard.name != name {
		return Shard{}, fmt.Errorf("%w: the re-encoded shard has digest %s", ErrDigestMismatch, shard.name)
	}
	return shard, nil
}
