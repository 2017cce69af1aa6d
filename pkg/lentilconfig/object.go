package lentilconfig

import (
	"encoding/json"
	"fmt"

	"lentilstair.example/lentilstair/pkg/lentilerror"
)

// HeadObjectName is the name of the head's object in the platform.
const HeadObjectName = "current"

// HeadObjectDoc is the written form of the head's object in the platform.
type HeadObjectDoc struct {
	HeadDoc
	// ShardRemovals counts the removals of unused shards. A removal raises it first, so
	// that a writer that read the head before fails with a conflict.
	ShardRemovals uint64 `json:"cleaned,omitempty"`
}

// ShardObjectDoc is the written form of a shard's object in the platform.
type ShardObjectDoc struct {
	Shard ShardDoc `json:"shard"`
	// WriteMarker changes when a writer takes up a shard that exists already, so that
	// a removal under way fails with a conflict.
	WriteMarker string `json:"touched,omitempty"`
}

// ParseHeadObject reads the head's object.
func ParseHeadObject(body []byte) (doc HeadObjectDoc, err error) {
	defer lentilerror.Annotate(&err, "parse head's object")
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

// ObjectBody returns the body of the shard's object. The mark is any text that
// differs from that of earlier writers.
func (s Shard) ObjectBody(mark string) (body []byte, err error) {
	defer lentilerror.Annotate(&err, "write shard %s", s.name)
	var doc ShardObjectDoc
	if err = json.Unmarshal(s.body, &doc.Shard); err != nil {
		return nil, err
	}
	doc.WriteMarker = mark
	return json.Marshal(doc)
}

// ParseShardObject reads a shard's object. A platform may reorder the fields of
// what it stores; the shard is written anew and compared with its name.
func ParseShardObject(name Digest, body []byte) (shard Shard, err error) {
	defer lentilerror.Annotate(&err, "parse shard %s", name)
	var doc ShardObjectDoc
	if err = json.Unmarshal(body, &doc); err != nil {
		return Shard{}, err
	}
	if shard, err = encodeShard(doc.Shard); err != nil {
		return Shard{}, err
	}
	if shard.name != name {
		return Shard{}, fmt.Errorf("%w: its digest is %s", ErrDigestMismatch, shard.name)
	}
	return shard, nil
}
